package shell

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliaworks/core/config"
	"magnoliaworks/core/jsonc"
	"magnoliaworks/core/lang"
)

// acceptTimeout bounds the wait for the outcome of a change.
const acceptTimeout = 5 * time.Second

// change runs a command that changes the configuration.
func (s *Shell) change(ctx context.Context, origin Origin, command lang.Command, text string) (Output, error) {
	change, notes, err := configChange(command)
	if err != nil {
		return Output{}, err
	}
	if notes.DryRun {
		return s.preview(change)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	proposal := config.Proposal{
		ID:       s.options.NewID(),
		Operator: origin.Operator,
		From:     origin.From,
		Command:  abbreviate(text),
		Reason:   notes.Reason,
		Change:   change,
	}
	return s.propose(ctx, proposal)
}

// propose stores a change and puts it in force on this host.
func (s *Shell) propose(ctx context.Context, p config.Proposal) (Output, error) {
	switch v := config.Accept(ctx, s.options.Store, s.options.Config.State(), p).(type) {
	case config.Accepted:
		s.options.Config.Merge(v.Object)
		s.options.Journal.Record("config", v.Object.Scope, "accepted",
			fmt.Sprintf("change %s of %s: %s", p.ID, p.Operator, p.Command))
		return Output{
			Text: fmt.Sprintf("accepted: change %s is version %d of %s", p.ID, v.Object.Version, v.Object.Scope),
		}, nil
	case config.Refused:
		return Output{}, errors.Errorf("refused: %s", v.Reason)
	case config.Unknown:
		return Output{}, errors.Errorf("unknown: %s", v.Reason)
	default:
		return Output{}, errors.Errorf("outcome of type %T is not known", v)
	}
}

// preview returns the changed value before and after a change, without storing the change.
func (s *Shell) preview(c config.Change) (Output, error) {
	before, after, err := config.Preview(s.options.Config.State(), c)
	if err != nil {
		return Output{}, errors.Wrap(err, "refused")
	}
	out := newTable("", "value")
	out.Text = "dry run: nothing was changed"
	out.addRow("before", before)
	out.addRow("after", after)
	return out, nil
}

// configChange returns the change of the configuration that a command asks for, and the command's notes.
func configChange(command lang.Command) (config.Change, lang.Notes, error) {
	switch {
	case command.Take != nil:
		return config.TakeOut{
			Place: configPlace(command.Take.Place),
			Force: command.Take.Force,
		}, *command.Take.Notes, nil
	case command.Bring != nil:
		return config.BringIn{
			Place: configPlace(command.Bring.Place),
		}, *command.Bring.Notes, nil
	case command.Put != nil:
		collection, err := DecodeCollection("collection", []byte(command.Put.JSON))
		return config.PutCollection{
			Collection: collection,
		}, *command.Put.Notes, err
	case command.Set != nil:
		return settingChange(*command.Set)
	default:
		return nil, lang.Notes{}, errors.New("the command changes nothing")
	}
}

// DecodeCollection decodes and validates a collection; name is the file name in decoding errors.
func DecodeCollection(name string, data []byte) (config.Collection, error) {
	var c config.Collection
	if err := jsonc.Decode(name, data, &c); err != nil {
		return config.Collection{}, err
	}
	return c, c.Check()
}

func settingChange(c lang.Set) (config.Change, lang.Notes, error) {
	if c.Budget != nil {
		return config.SetBudget{
			Budget: c.Budget.Name,
			Share:  c.Budget.Share,
		}, *c.Notes, nil
	}
	change := config.SetKind{
		Collection: c.Kind.Collection,
		Kind:       c.Kind.Kind,
		Field:      config.KindField(c.Kind.Field),
	}
	if c.Kind.Deadline != nil {
		change.Deadline = time.Duration(*c.Kind.Deadline)
	}
	if c.Kind.Number != nil {
		change.Number = *c.Kind.Number
	}
	wantsDuration := change.Field == config.DeadlineField
	if wantsDuration != (c.Kind.Deadline != nil) {
		return nil, lang.Notes{}, errors.Errorf("field %q of kind %q requires %s", c.Kind.Field, c.Kind.Kind, expectedValue(wantsDuration))
	}
	return change, *c.Notes, nil
}

// expectedValue describes the value that a field requires.
func expectedValue(duration bool) string {
	if duration {
		return `a duration with a unit, such as 250ms`
	}
	return "a number"
}

func configPlace(p lang.Place) config.Place {
	return config.Place{
		Type: config.PlaceType(p.Type),
		Name: p.Name,
	}
}

// abbreviate returns the text of a command for the audit trail, with each run of white space as one space and cut to maxBytes.
func abbreviate(text string) string {
	const maxBytes = 200
	text = strings.Join(strings.Fields(text), " ")
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "…"
}
