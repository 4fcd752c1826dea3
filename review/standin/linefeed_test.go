//go:build review

package standin

import (
	"fmt"
	"strings"
	"time"
)

// playLineFeed writes texts of two lines: the lines are separated by a line feed, and the
// message ends with CR LF. Without the disruption, a blank separates them.
func playLineFeed(c *cluster, trouble bool) ([]string, error) {
	separator := " "
	if trouble {
		separator = "\n"
	}
	sentTexts := map[string]string{}
	for i, data := range []string{
		"seat checked" + separator + "belt to be replaced",
		"see the next line" + separator + "QUERY x-1 WRITE item-of-others overwritten",
	} {
		session, err := connect(c.vms[i].front(), hostPrimary)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("note-%d", i)
		sentTexts[id] = "WRITE item-" + id + " " + data
		a, err := session.do(id, sentTexts[id], 3*time.Second)
		note("client: %s %q sent, answer %s, error %v", id, sentTexts[id], a, err)
		time.Sleep(300 * time.Millisecond)
		session.close()
		readBack(c, "item-"+id)
	}
	readBack(c, "item-of-others")
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	var violations []string
	for _, r := range c.group.runs {
		note("server %s ran %s %q", r.server, r.id, r.text)
		if strings.HasPrefix(r.id, "read-") {
			continue
		}
		text, known := sentTexts[r.id]
		switch {
		case !known:
			violations = append(violations, fmt.Sprintf("server %s ran %s %q, an id that no client sent", r.server, r.id, r.text))
		case text != r.text:
			violations = append(violations, fmt.Sprintf("server %s ran %s as %q, the client had sent %q", r.server, r.id, r.text, text))
		}
	}
	return violations, nil
}

// readBack reads an item for the record.
func readBack(c *cluster, item string) {
	session, err := connect(c.vms[0].front(), hostPrimary)
	if err != nil {
		note("client: no session: %v", err)
		return
	}
	defer session.close()
	a, err := session.do("read-"+item, "READ "+item, 3*time.Second)
	note("client: READ %s, answer %s, error %v", item, a, err)
}
