package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"magnoliaworks/core/member"
)

// askTimeout bounds the wait for the answers of the other hosts, which are asked concurrently.
const askTimeout = 2 * time.Second

// hostAnswer is one host's answer to a command; err is set when it gave no valid answer.
type hostAnswer struct {
	host   string
	output Output
	err    error
}

// askOthers runs a command on all other hosts that accept work, concurrently.
func (s *Shell) askOthers(ctx context.Context, command string) []hostAnswer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var others []member.Member
	for _, m := range s.options.Routes.Load().View.Available() {
		if m.ID != s.options.Self.ID {
			others = append(others, m)
		}
	}
	answers := make([]hostAnswer, len(others))
	group := new(errgroup.Group)
	for i, m := range others {
		group.Go(func() error {
			answers[i].host = m.ID
			text, err := s.options.Asker.Ask(ctx, m, command)
			if err == nil {
				err = json.Unmarshal([]byte(text), &answers[i].output)
			}
			answers[i].err = err
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// collect merges this host's table with those of the other hosts and sorts the rows by their first column. The output's text
// names the hosts that did not answer.
func (s *Shell) collect(ctx context.Context, command string, local func() (Output, error)) (Output, error) {
	out, err := local()
	if err != nil {
		return Output{}, err
	}
	for _, a := range s.askOthers(ctx, command) {
		if a.err != nil {
			out.Text += fmt.Sprintf("host %s did not answer: %v\n", a.host, errors.Cause(a.err))
			continue
		}
		out.Rows = append(out.Rows, a.output.Rows...)
	}
	sort.SliceStable(out.Rows, func(i, j int) bool { return out.Rows[i][0] < out.Rows[j][0] })
	return out, nil
}
