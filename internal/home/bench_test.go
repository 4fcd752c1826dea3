package home

import (
	"context"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/txn"
)

// BenchmarkRead measures a prepared read through a lane on the stand-in server (the
// in-process fake of a backend server). The figures include the stand-in's own work.
func BenchmarkRead(b *testing.B) { benchmarkRead(b, 1) }

// BenchmarkReadQueued has more callers than slots, so that most of them queue.
func BenchmarkReadQueued(b *testing.B) { benchmarkRead(b, 16) }

func benchmarkRead(b *testing.B, callers int) {
	f := newFixture(&testing.T{}, nil)
	f.group.SetRecording(false)
	st := txn.Statement{Name: "s", SQL: selectA}
	batch := txn.Batch{
		Messages:   encode(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Statements: []txn.Statement{st},
	}
	f.open(read("db-b")).Close()
	b.ReportAllocs()
	var done sync.WaitGroup
	perCaller := max(1, b.N/callers)
	b.ResetTimer()
	for range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			for range perCaller {
				lane, err := f.manager.Open(context.Background(), read("db-b"))
				if err == nil {
					_, err = lane.Run(context.Background(), batch, discard)
				}
				if err != nil {
					b.Error(err)
				}
			}
		}()
	}
	done.Wait()
}

func discard([]byte) error { return nil }
