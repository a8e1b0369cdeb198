package sharedstore

import (
	"context"
	"time"

	"merlintiller/internal/external"
)

// Direct is the store without a network, for tests of what uses it. It
// implements external.KeyedLog.
type Direct struct {
	Store *Store
	// Before, if set, is called before each append and may make it fail.
	Before func(records []external.KeyedRecord) error
	// MostRead bounds the records of one read, if it is above 0.
	MostRead int
}

// Append implements external.KeyedLog.
func (d *Direct) Append(_ context.Context, at external.Partition, records []external.KeyedRecord, end int64) (int64, error) {
	if d.Before != nil {
		if err := d.Before(records); err != nil {
			return 0, err
		}
	}
	d.Store.mu.Lock()
	defer d.Store.mu.Unlock()
	p := d.Store.partition(at.Topic, at.Number)
	if end != external.AnyEnd && end != p.end() {
		return 0, &external.EndMismatchError{End: p.end()}
	}
	var raw [][]byte
	for _, record := range records {
		key := append([]byte{byte(len(record.Key))}, record.Key...)
		raw = append(raw, append(key, record.Value...))
	}
	p.append(raw)
	return p.end(), nil
}

// Read implements external.KeyedLog.
func (d *Direct) Read(ctx context.Context, at external.Partition, from int64, wait time.Duration) (external.KeyedPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait <= 0; ; {
		d.Store.mu.Lock()
		p := d.Store.partition(at.Topic, at.Number)
		page := external.KeyedPage{First: p.first, End: p.end(), Next: p.end()}
		changed := p.changed
		if from >= p.first {
			for i, record := range p.records[min(from-p.first, int64(len(p.records))):] {
				if d.MostRead > 0 && i == d.MostRead {
					page.Next = from + int64(i)
					break
				}
				page.Records = append(page.Records, external.KeyedRecord{
					Key: string(record[1 : 1+int(record[0])]), Value: record[1+int(record[0]):], Offset: from + int64(i),
				})
			}
		}
		d.Store.mu.Unlock()
		switch {
		case from < page.First:
			return page, external.ErrTrimmed
		case len(page.Records) > 0 || over:
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return external.KeyedPage{}, external.ErrUnavailable
		}
	}
}

// Newest implements external.KeyedLog.
func (d *Direct) Newest(_ context.Context, at external.Partition) (external.KeyedPage, error) {
	d.Store.mu.Lock()
	defer d.Store.mu.Unlock()
	p := d.Store.partition(at.Topic, at.Number)
	page := external.KeyedPage{End: p.end(), Next: p.end()}
	for _, record := range p.newest {
		page.Records = append(page.Records, external.KeyedRecord(record))
	}
	return page, nil
}
