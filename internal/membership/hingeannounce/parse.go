package hingeannounce

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"
)

// MaxBody is the size limit of an announcement, in bytes.
const MaxBody = 4096

// Limits on the fields of an announcement. Names are short because several announcements
// share one datagram between entry hosts.
const (
	maxName  = 64
	maxSlots = 4096
)

// Reason is the machine-readable cause of a rejected announcement.
type Reason string

// The reasons for which Parse and Validate reject an announcement.
const (
	ReasonTooLarge     Reason = "tooLarge"
	ReasonNotJSON      Reason = "notJSON"
	ReasonName         Reason = "name"
	ReasonIncarnation  Reason = "incarnation"
	ReasonKind         Reason = "kind"
	ReasonAddress      Reason = "address"
	ReasonModelService Reason = "modelOrService"
	ReasonSlots        Reason = "slots"
	ReasonLoad         Reason = "load"
)

// ParseError is the error for a rejected announcement.
type ParseError struct {
	Reason Reason
	Cause  error
}

func (e *ParseError) Error() string {
	return "announcement refused (" + string(e.Reason) + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error {
	return e.Cause
}

func refuse(r Reason, format string, args ...any) error {
	return &ParseError{
		Reason: r,
		Cause:  eris.Errorf(format, args...),
	}
}

// Parse decodes and validates an announcement. Every error is a *ParseError. Unknown
// fields are ignored, so that servers can send newer ones.
func Parse(body []byte) (Announcement, error) {
	if len(body) > MaxBody {
		return Announcement{}, refuse(ReasonTooLarge, "%d bytes, at most %d", len(body), MaxBody)
	}
	var a Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return Announcement{}, refuse(ReasonNotJSON, "%v", err)
	}
	if err := a.Validate(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}

// Validate validates an announcement (rule 1). Every error is a *ParseError.
func (a Announcement) Validate() error {
	names := []struct {
		field string
		value string
		must  bool
	}{
		{field: "server", value: string(a.Server), must: true},
		{field: "zone", value: string(a.Zone), must: true},
		{field: "model", value: string(a.Model)},
		{field: "service", value: string(a.Service)},
	}
	for _, n := range names {
		if err := checkName(n.field, n.value, n.must); err != nil {
			return err
		}
	}
	if a.Incarnation == 0 {
		return refuse(ReasonIncarnation, "incarnation is missing")
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return refuse(ReasonAddress, "address %q: want IP number and port", a.Address)
	}
	if err := a.checkKind(); err != nil {
		return err
	}
	return a.Load.check()
}

func checkName(field, value string, required bool) error {
	if required && value == "" {
		return refuse(ReasonName, "%s is missing", field)
	}
	if len(value) > maxName {
		return refuse(ReasonName, "%s: %d bytes, at most %d", field, len(value), maxName)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return refuse(ReasonName, "%s: want printable ASCII without blanks", field)
	}
	return nil
}

func (a Announcement) checkKind() error {
	switch a.Kind {
	case Prefill, Decode, Both:
		if a.Model == "" || a.Service != "" {
			return refuse(ReasonModelService, "kind %s: want a model and no service", a.Kind)
		}
	case Service:
		if a.Service == "" || a.Model != "" {
			return refuse(ReasonModelService, "kind %s: want a service and no model", a.Kind)
		}
	default:
		return refuse(ReasonKind, "kind %q: want prefill, decode, both or service", string(a.Kind))
	}
	decodes := a.Kind == Decode || a.Kind == Both
	if a.Slots < 0 || a.Slots > maxSlots || decodes && a.Slots == 0 {
		return refuse(ReasonSlots, "kind %s with %d slots", a.Kind, a.Slots)
	}
	return nil
}

func (l Load) check() error {
	if l.Running < 0 || l.Queued < 0 || l.QueuedTokens < 0 || l.CacheBytes < 0 || l.CacheLimit < 0 {
		return refuse(ReasonLoad, "a load below zero")
	}
	return nil
}
