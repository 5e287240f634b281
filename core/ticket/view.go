package ticket

import (
	"context"
	"fmt"
	"strconv"

	"catkincove/core"
	"catkincove/core/config"
)

// view is the state of the store that one attempt decides on.
type view struct {
	head          core.Entry // zero when nothing was ever applied
	highestTicket int64      // ticket number stored in the head key
	recorded      *record    // stored ticket with the number that is being applied; nil when there is none
	config        config.Config
	revisions     map[config.Ref]core.Revision // revision of each stored object
}

// record is a ticket as stored.
type record struct {
	ticket   config.Ticket
	revision core.Revision
}

// read returns the current state of the store.
//
// The head key is read first: when another ticket is applied between the reads, the transaction then fails its comparison
// of the head key, so no transaction is based on a mixture of two states.
func (applier Applier) read(ctx context.Context, number int64) (view, error) {
	var view view
	head, err := applier.get(ctx, core.HeadKey)
	if err != nil {
		return view, err
	}
	if len(head.Entries) > 0 {
		view.head = head.Entries[0]
	}
	if view.highestTicket, err = parseHead(view.head); err != nil {
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
	view.revisions = make(map[config.Ref]core.Revision, len(entries))
	for _, entry := range entries {
		object, err := codec.DecodeObject(entry.Value)
		if err != nil {
			return corrupt(entry.Key, err)
		}
		if codec.ObjectKey(object.Ref) != entry.Key {
			return corrupt(entry.Key, fmt.Errorf("found the object %s", object.Ref))
		}
		objects = append(objects, object)
		view.revisions[object.Ref] = entry.ModRevision
	}
	view.config = config.Config{}.With(objects, view.head.ModRevision)
	return nil
}

// objects returns the stored state of the objects of the ticket.
func (view view) objects(ticket config.Ticket) []config.Object {
	var objects []config.Object
	for _, object := range ticket.Objects {
		if stored, exists := view.config.Object(object.Ref); exists {
			objects = append(objects, stored)
		}
	}
	return objects
}

// corrupt returns the error for a store value that this version cannot decode; it is "not run", as nothing was written.
func corrupt(key string, err error) error {
	return core.Errorf(core.Internal, "store key %s cannot be read: %w", key, err).WithRun(core.NotRun)
}

func ticketKey(number int64) string { return core.TicketPrefix + strconv.FormatInt(number, 10) }
