package pipeline

// filter is one step of the request path. An error refuses the call.
type filter interface {
	apply(c *call) error
}

// order is the request path. Each call passes prepare once, attempt once for
// each dispatch, and finish once.
type order struct {
	prepare []filter
	attempt []filter
	finish  []filter
}

// newOrder returns the filters in the order in which a call passes them.
func newOrder(s *Server) order {
	return order{
		prepare: []filter{
			receive{s},
			authenticate{s},
			classify{s},
			deduplicate{s},
			quarantine{s},
		},
		attempt: []filter{
			admit{s},
			choose{s},
			dispatch{s},
		},
		finish: []filter{
			relay{s},
			settle{s},
		},
	}
}

// run passes a call through filters until one refuses it.
func run(c *call, filters []filter) error {
	for _, f := range filters {
		if err := f.apply(c); err != nil {
			return err
		}
	}
	return nil
}

// serve takes one call through the whole path.
func (s *Server) serve(c *call) {
	err := run(c, s.order.prepare)
	if err == nil && !c.replayed {
		err = s.attempt(c)
	}
	if err != nil {
		s.awaitSuspect(c)
		s.refuse(c, err)
		s.end(c)
		return
	}
	if c.replayed {
		return
	}
	if err := run(c, s.order.finish); err != nil {
		s.refuse(c, err)
		s.end(c)
	}
}
