package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/routing"
)

// unpackedPublicationRow is the form in which logs and snapshots of earlier releases hold
// a publication.
type unpackedPublicationRow struct {
	Publication api.Publication `cbor:"1,keyasint"`
	Source      []byte          `cbor:"2,keyasint"`
}

func (r *unpackedPublicationRow) pack() (*publicationRow, error) {
	packed, err := routing.Pack(&r.Publication)
	if err != nil {
		return nil, err
	}
	return &publicationRow{
		Publication: packed, ServingGroups: r.Publication.ServingGroups(), Source: routing.Compress(r.Source),
	}, nil
}

// unpackedPublishCommand is a publishCommand in the log of an earlier release.
type unpackedPublishCommand struct {
	unpackedPublicationRow
}

func (*unpackedPublishCommand) kind() commandKind { return kindPublishUnpacked }

func (c *unpackedPublishCommand) apply(t *tx) (any, error) {
	row, err := c.pack()
	if err != nil {
		return nil, err
	}
	return (&publishCommand{*row}).apply(t)
}
