package mgcp

import (
	"errors"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func randomMessage(t *rapid.T) Message {
	m := Message{Transaction: rapid.Uint32Range(1, MaxTransactionID).Draw(t, "transaction")}
	if rapid.Bool().Draw(t, "command") {
		m.Verb = rapid.SampledFrom(verbs).Draw(t, "verb")
		m.Endpoint = rapid.SampledFrom([]string{"aaln/1@gw.example", "*@gw.example", "ds/*/$@[10.0.0.1]", "x@y"}).Draw(t, "endpoint")
	} else {
		m.Code = rapid.SampledFrom([]int{0, 100, 200, 250, 401, 500, 521}).Draw(t, "code")
		m.Comment = rapid.SampledFrom([]string{"", "OK", "The transaction was executed normally"}).Draw(t, "comment")
	}
	for range rapid.IntRange(0, 4).Draw(t, "params") {
		m.Params = append(m.Params, Param{rapid.SampledFrom([]string{"C", "I", "R", "S", "X", "O", "D", "X-OWN"}).Draw(t, "name"),
			rapid.StringMatching(`([a-zA-Z0-9,/()*#|.:-]([a-zA-Z0-9,/()*#|.: -]{0,20}[a-z0-9])?)?`).Draw(t, "value")})
	}
	if rapid.Bool().Draw(t, "session") {
		m.Session = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\n")
		if rapid.Bool().Draw(t, "second") {
			m.SecondSession = []byte("v=0\r\n")
		}
	}
	return m
}

func TestDatagramsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []Message
		var text []byte
		for i := range rapid.IntRange(1, 3).Draw(t, "messages") {
			m := randomMessage(t)
			if i > 0 {
				text = append(text, ".\r\n"...)
			}
			var err error
			if text, err = Append(text, m); err != nil {
				t.Fatal(err)
			}
			want = append(want, m)
		}
		got, err := Decode(text)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\nread %+v\nwant %+v\n%s", err, got, want, text)
		}
		bare, err := Decode([]byte(strings.ReplaceAll(string(text), "\r\n", "\n"))) // lines may end with LF only
		if err != nil || !reflect.DeepEqual(bare, want) {
			t.Fatalf("with LF only: %v %+v", err, bare)
		}
	})
}

// Decodes messages that follow the grammar of RFC 3435, appendix A, and rejects malformed ones.
func TestDecodeFollowsGrammar(t *testing.T) {
	for _, c := range []struct {
		text string
		want Message
	}{
		{"rqnt 1201 aaln/1@rgw.example mgcp 1.0\nX: 0123456789AC\nR: hd(N)\n", Message{Verb: NotificationRequest, Transaction: 1201,
			Endpoint: "aaln/1@rgw.example", Params: []Param{{"X", "0123456789AC"}, {"R", "hd(N)"}}}},
		{"200 1201 OK\r\n", Message{Transaction: 1201, Code: 200, Comment: "OK"}},
		{"000 1203\r\n", Message{Transaction: 1203}},
		{"NTFY 2002 aaln/1@rgw.example MGCP 1.0\nX:0123456789AC\n o : hd \n", Message{Verb: Notify, Transaction: 2002, Endpoint: "aaln/1@rgw.example",
			Params: []Param{{"X", "0123456789AC"}, {"O", "hd"}}}},
		{"200 1204 OK\nI: FDE234C8\n\nv=0\nc=IN IP4 127.0.0.1\n", Message{Transaction: 1204, Code: 200, Comment: "OK", Params: []Param{{"I", "FDE234C8"}},
			Session: []byte("v=0\r\nc=IN IP4 127.0.0.1\r\n")}},
	} {
		got, err := Decode([]byte(c.text))
		if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], c.want) {
			t.Errorf("%q: %+v, %v", c.text, got, err)
		}
	}
	for _, text := range []string{"", "200 1201 OK", "NTFY 1 a@b MGCP 1.0\nO: D/0, D/0", "\n", ".", "RQNT\n", "RQNT 0 a@b MGCP 1.0\n", "RQNT 1000000000 a@b MGCP 1.0\n", "RQNT 1 a MGCP 1.0\n", "RQNT 1 a@b MGCP 0.1\n",
		"DANCE 1 a@b MGCP 1.0\n", "RQNT 1 a*b/1@c MGCP 1.0\n", "RQNT 1 a//1@c MGCP 1.0\n", "200 1\nnothing\n", "2x0 1\n", "200 1\n: x\n", strings.Repeat("x", MaxDatagramSize+1)} {
		if _, err := Decode([]byte(text)); !errors.Is(err, ErrMessage) {
			t.Errorf("%.30q: %v", text, err)
		}
	}
}

// Compares digit maps with equivalent regular expressions on many digit strings.
func TestDigitMapsAgainstRegexp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var alternatives, expressions []string
		for range rapid.IntRange(1, 4).Draw(t, "options") {
			var alternative, expression strings.Builder
			for range rapid.IntRange(1, 4).Draw(t, "signs") {
				p := rapid.SampledFrom([][2]string{{"1", "1"}, {"x", "[0-9]"}, {"[2-4]", "[2-4]"}, {"x.", "[0-9]*"}, {"1.", "1*"}, {"*", `\*`}, {"[1#]", "[1#]"}}).Draw(t, "sign")
				alternative.WriteString(p[0])
				expression.WriteString(p[1])
			}
			if rapid.Bool().Draw(t, "timer") {
				alternative.WriteByte('T')
				expression.WriteByte('T')
			}
			alternatives, expressions = append(alternatives, alternative.String()), append(expressions, expression.String())
		}
		text := "(" + strings.Join(alternatives, "|") + ")"
		digitMap, err := ParseDigitMap(text)
		if err != nil {
			t.Fatal(err)
		}
		pattern := regexp.MustCompile("^(" + strings.Join(expressions, "|") + ")$")
		var inputs []string
		for _, a := range []string{"", "1", "2", "5", "*", "#", "T"} {
			for _, b := range []string{"", "1", "3", "9", "T"} {
				for _, c := range []string{"", "1", "4", "T", "11", "123"} {
					inputs = append(inputs, a+b+c)
				}
			}
		}
		for _, s := range inputs {
			m := digitMap.Match(s)
			if complete := m == FullMatch || m == AmbiguousMatch; complete != pattern.MatchString(s) {
				t.Fatalf("%s on %q: result %d, the expression matches: %v", text, s, m, pattern.MatchString(s))
			}
			longer := false
			for _, l := range inputs {
				longer = longer || len(l) > len(s) && strings.HasPrefix(l, s) && pattern.MatchString(l)
			}
			if longer && (m == NoMatch || m == FullMatch) {
				t.Fatalf("%s on %q: result %d, but a longer input matches", text, s, m)
			}
		}
	})
}

func TestMalformedDigitMaps(t *testing.T) {
	for _, text := range []string{"", "200 1201 OK", "NTFY 1 a@b MGCP 1.0\nO: D/0, D/0", "()", "(1|)", "(1", "[1", "[]", "[4-2]", ".", "1..", "y", "T.", strings.Repeat("1", 65), strings.Repeat("1|", 70) + "1"} {
		if _, err := ParseDigitMap(text); !errors.Is(err, ErrMessage) {
			t.Errorf("%.20q: %v", text, err)
		}
	}
}

var sampleMessages = [][]byte{
	[]byte("RQNT 1201 aaln/1@rgw.example MGCP 1.0\r\nX: 1\r\nR: hd(N), [0-9#*T](D)\r\nD: (0T|00T|[1-7]xxx|8xxxxxxx)\r\n"),
	[]byte("200 1201 OK\r\n.\r\nDLCX 1210 aaln/1@rgw.example MGCP 1.0\r\nC: A3\r\nI: F1\r\n"),
	[]byte("200 1204 OK\r\nI: F1\r\n\r\nv=0\r\n\r\nv=0\r\n"),
	[]byte("000 7\r\n"),
}

func checkMessageRoundTrip(t *testing.T, b []byte) {
	all, err := Decode(b)
	if err != nil && !errors.Is(err, ErrMessage) {
		t.Fatalf("error does not wrap ErrMessage: %v", err)
	}
	for _, m := range all {
		text, err := Append(nil, m)
		if err != nil {
			continue // parameter values may be accepted but not encoded
		}
		again, err := Decode(text)
		if err != nil || len(again) != 1 || !reflect.DeepEqual(again[0], m) {
			t.Fatalf("%+v decodes again as %+v, %v", m, again, err)
		}
	}
}

func TestDamagedMessages(t *testing.T) {
	seeded.ForEachMutation(t, sampleMessages, 100000, checkMessageRoundTrip)
}

func FuzzDecode(f *testing.F) {
	for _, b := range sampleMessages {
		f.Add(b)
	}
	f.Fuzz(checkMessageRoundTrip)
}
