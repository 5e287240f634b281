package ticket

import (
	"context"
	"fmt"
	"strconv"

	"catkincove/core"
	"catkincove/core/config"
)

// view is the state of the store that one round decides on.
type view struct {
	head     core.Entry // zero when nothing was ever applied
	highest  int64      // ticket number in head
	recorded *record    // the ticket that already has the number
	config   config.Config
	revision map[config.Ref]core.Revision // of each stored object
}

// record is a ticket as stored.
type record struct {
	ticket   config.Ticket
	revision core.Revision
}

// read returns the present state.
//
// Head is read first: a ticket that is applied between the reads then fails the comparison of head, so the transaction
// never rests on a mixture of two states.
func (applier Applier) read(ctx context.Context, number int64) (view, error) {
	var view view
	head, err := applier.get(ctx, core.HeadKey)
	if err != nil {
		return view, err
	}
	if len(head.Entries) > 0 {
		view.head = head.Entries[0]
	}
	if view.highest, err = parseHead(view.head); err != nil {
		return view, err
	}
	if view.recorded, err = applier.record(ctx, number); err != nil {
		return view, err
	}
	objects, err := applier.list(ctx, core.ConfigPrefix)
	if err != nil {
		return view, err
	}
	return view, view.load(applier.Codec, objects.Entries)
}

func parseHead(head core.Entry) (int64, error) {
	if head.ModRevision == 0 {
		return 0, nil
	}
	highest, err := strconv.ParseInt(string(head.Value), 10, 64)
	if err != nil {
		return 0, corrupt(head.Key, fmt.Errorf("found %q, expected a ticket number", head.Value))
	}
	return highest, nil
}

// record returns the stored ticket with the number, or nil.
func (applier Applier) record(ctx context.Context, number int64) (*record, error) {
	key := ticketKey(number)
	snapshot, err := applier.get(ctx, key)
	if err != nil || len(snapshot.Entries) == 0 {
		return nil, err
	}
	entry := snapshot.Entries[0]
	ticket, err := applier.Codec.DecodeTicket(entry.Value)
	if err != nil {
		return nil, corrupt(key, err)
	}
	return &record{ticket: ticket, revision: entry.ModRevision}, nil
}

// load decodes the stored objects.
func (view *view) load(codec config.Codec, entries []core.Entry) error {
	objects := make([]config.Object, 0, len(entries))
	view.revision = make(map[config.Ref]core.Revision, len(entries))
	for _, entry := range entries {
		object, err := codec.DecodeObject(entry.Value)
		if err != nil {
			return corrupt(entry.Key, err)
		}
		if codec.ObjectKey(object.Ref) != entry.Key {
			return corrupt(entry.Key, fmt.Errorf("found the object %s", object.Ref))
		}
		objects = append(objects, object)
		view.revision[object.Ref] = entry.ModRevision
	}
	view.config = config.Config{}.With(objects, view.head.ModRevision)
	return nil
}

// objects returns the present state of the objects that the ticket touches.
func (view view) objects(ticket config.Ticket) []config.Object {
	var objects []config.Object
	for _, object := range ticket.Objects {
		if held, exists := view.config.Object(object.Ref); exists {
			objects = append(objects, held)
		}
	}
	return objects
}

// corrupt reports a value that this version cannot read; nothing was written because of it.
func corrupt(key string, err error) error {
	return core.Errorf(core.Internal, "store key %s cannot be read: %w", key, err).WithRun(core.NotRun)
}

func ticketKey(number int64) string { return core.TicketPrefix + strconv.FormatInt(number, 10) }
