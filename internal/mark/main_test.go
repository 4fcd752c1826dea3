package mark_test

import (
	"testing"

	"egretroad/internal/rapidseed"
)

// TestMain fixes the seed of the property-based tests unless one is given.
func TestMain(m *testing.M) { rapidseed.Main(m) }
