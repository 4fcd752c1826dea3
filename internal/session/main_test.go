package session

import (
	"testing"

	"egretroad/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
