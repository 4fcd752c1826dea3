package home

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/txn"
)

// BenchmarkRead measures a prepared read through a lane against the stand-in,
// whose own work is included.
func BenchmarkRead(b *testing.B) {
	f := newFixture(&testing.T{}, nil)
	f.group.SetRecording(false)
	st := txn.Statement{Name: "s", SQL: selectA}
	batch := txn.Batch{
		Messages:   encode(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		Statements: []txn.Statement{st},
	}
	f.open(read("db-b")).Close()
	b.ReportAllocs()
	for b.Loop() {
		lane, err := f.manager.Open(context.Background(), read("db-b"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := lane.Run(context.Background(), batch, discard); err != nil {
			b.Fatal(err)
		}
	}
}

func discard([]byte) error { return nil }
