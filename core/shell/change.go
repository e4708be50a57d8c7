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

// acceptTime bounds the wait for the fate of a change.
const acceptTime = 5 * time.Second

// change runs a command that changes the configuration.
func (s *Shell) change(ctx context.Context, origin Origin, command lang.Command, text string) (Output, error) {
	change, notes, err := changeOf(command)
	if err != nil {
		return Output{}, err
	}
	if notes.DryRun {
		return s.preview(change)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	proposal := config.Proposal{
		ID:       s.parts.NewID(),
		Operator: origin.Operator,
		From:     origin.From,
		Command:  abbreviate(text),
		Reason:   notes.Reason,
		Change:   change,
	}
	return s.propose(ctx, proposal)
}

func (s *Shell) propose(ctx context.Context, p config.Proposal) (Output, error) {
	switch v := config.Accept(ctx, s.parts.Store, s.parts.Config.State(), p).(type) {
	case config.Accepted:
		s.parts.Config.Merge(v.Object)
		s.parts.Journal.Record("config", v.Object.Scope, "accepted",
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

func (s *Shell) preview(c config.Change) (Output, error) {
	before, after, err := config.Preview(s.parts.Config.State(), c)
	if err != nil {
		return Output{}, errors.Wrap(err, "refused")
	}
	out := table("", "value")
	out.Text = "dry run: nothing was changed"
	out.row("before", before)
	out.row("after", after)
	return out, nil
}

// changeOf returns the change that a command stands for.
func changeOf(command lang.Command) (config.Change, lang.Notes, error) {
	switch {
	case command.Take != nil:
		return config.TakeOut{
			Place: placeOf(command.Take.Place),
			Force: command.Take.Force,
		}, *command.Take.Notes, nil
	case command.Bring != nil:
		return config.BringIn{
			Place: placeOf(command.Bring.Place),
		}, *command.Bring.Notes, nil
	case command.Put != nil:
		collection, err := DecodeCollection("collection", []byte(command.Put.JSON))
		return config.PutCollection{
			Collection: collection,
		}, *command.Put.Notes, err
	case command.Set != nil:
		return setOf(*command.Set)
	default:
		return nil, lang.Notes{}, errors.New("the command changes nothing")
	}
}

// DecodeCollection reads and checks a collection; name stands in errors for the file.
func DecodeCollection(name string, data []byte) (config.Collection, error) {
	var c config.Collection
	if err := jsonc.Decode(name, data, &c); err != nil {
		return config.Collection{}, err
	}
	return c, c.Check()
}

func setOf(c lang.Set) (config.Change, lang.Notes, error) {
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
	isDuration := change.Field == config.DeadlineField
	if isDuration != (c.Kind.Deadline != nil) {
		return nil, lang.Notes{}, errors.Errorf("field %q of kind %q takes %s", c.Kind.Field, c.Kind.Kind, wanted(isDuration))
	}
	return change, *c.Notes, nil
}

func wanted(duration bool) string {
	if duration {
		return `a duration with a unit, such as 250ms`
	}
	return "a number"
}

func placeOf(p lang.Place) config.Place {
	return config.Place{
		Type: config.PlaceType(p.Type),
		Name: p.Name,
	}
}

// abbreviate shortens the text of a command for the audit trail.
func abbreviate(text string) string {
	const longest = 200
	text = strings.Join(strings.Fields(text), " ")
	if len(text) <= longest {
		return text
	}
	return strings.ToValidUTF8(text[:longest], "") + "…"
}
