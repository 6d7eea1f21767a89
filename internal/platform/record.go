package platform

import (
	"context"
	"log/slog"

	"indigodrift/internal/b2bua"
	"indigodrift/internal/board"
)

// maxRecordsPerSummary bounds the lines of one kind between two summaries; further ones are counted. At level debug all are written.
const maxRecordsPerSummary = 20

// recordLevel returns the level at which a kind of record is logged: debug for what happens to every call.
func recordLevel(kind b2bua.RecordKind) slog.Level {
	switch kind {
	case b2bua.CallState, b2bua.TryState, b2bua.CallRefused, b2bua.ReleaseWritten, b2bua.SwitchConnProbed:
		return slog.LevelDebug
	case b2bua.ReleaseDropped, b2bua.ReleaseLate, b2bua.SetUpRefused:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// Record logs an event of a call or a connection.
func (t *transport) Record(record b2bua.Record) {
	level, ctx := recordLevel(record.Kind), context.Background()
	if !t.log.Enabled(ctx, level) {
		return
	}
	if !t.log.Enabled(ctx, slog.LevelDebug) {
		if t.recordCounts[record.Kind]++; t.recordCounts[record.Kind] > maxRecordsPerSummary {
			t.suppressed++
			return
		}
	}
	var attrs []slog.Attr
	add := func(present bool, a slog.Attr) {
		if present {
			attrs = append(attrs, a)
		}
	}
	add(record.CallID != "", slog.String("call", record.CallID))
	add(record.Conn != 0, slog.Uint64("conn", uint64(record.Conn)))
	if conn := t.conn(record.Conn); conn != nil {
		add(true, slog.String("peer", conn.netConn.RemoteAddr().String()))
	}
	if record.Switch != 0 {
		add(true, slog.String("switch", board.FormatID(record.Switch)))
	}
	add(record.Try != 0, slog.Int("try", record.Try))
	add(record.Kind == b2bua.CallState, slog.String("from", record.From.String()))
	add(record.Kind == b2bua.CallState || record.Kind == b2bua.ReleaseIgnored || record.Kind == b2bua.AnswerIgnored, slog.String("to", record.To.String()))
	add(record.Cause != 0, slog.Int("cause", record.Cause))
	add(record.Copies != 0, slog.Int("copies", record.Copies))
	add(record.Waited != 0, slog.Float64("waited_ms", float64(record.Waited)/10))
	add(record.Reason != "", slog.String("why", record.Reason))
	t.log.LogAttrs(ctx, level, record.Kind.String(), attrs...)
}
