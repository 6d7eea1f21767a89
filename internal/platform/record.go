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
func (h *hands) Record(r b2bua.Record) {
	level, ctx := recordLevel(r.Kind), context.Background()
	if !h.log.Enabled(ctx, level) {
		return
	}
	if !h.log.Enabled(ctx, slog.LevelDebug) {
		if h.recordCounts[r.Kind]++; h.recordCounts[r.Kind] > maxRecordsPerSummary {
			h.suppressed++
			return
		}
	}
	var attrs []slog.Attr
	add := func(present bool, a slog.Attr) {
		if present {
			attrs = append(attrs, a)
		}
	}
	add(r.CallID != "", slog.String("call", r.CallID))
	add(r.Conn != 0, slog.Uint64("conn", uint64(r.Conn)))
	if conn := h.conn(r.Conn); conn != nil {
		add(true, slog.String("peer", conn.netConn.RemoteAddr().String()))
	}
	if r.Switch != 0 {
		add(true, slog.String("switch", board.FormatID(r.Switch)))
	}
	add(r.Try != 0, slog.Int("try", r.Try))
	add(r.Kind == b2bua.CallState, slog.String("from", r.From.String()))
	add(r.Kind == b2bua.CallState || r.Kind == b2bua.ReleaseIgnored || r.Kind == b2bua.AnswerIgnored, slog.String("to", r.To.String()))
	add(r.Cause != 0, slog.Int("cause", r.Cause))
	add(r.Copies != 0, slog.Int("copies", r.Copies))
	add(r.Waited != 0, slog.Float64("waited_ms", float64(r.Waited)/10))
	add(r.Reason != "", slog.String("why", r.Reason))
	h.log.LogAttrs(ctx, level, r.Kind.String(), attrs...)
}
