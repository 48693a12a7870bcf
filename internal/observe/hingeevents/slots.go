package hingeevents

// Events of decode slots and of the allocations that engines hold for requests.
const (
	SlotGranted   Number = 400
	SlotRefused   Number = 401
	HoldCancelled Number = 410
	HoldStuck     Number = 411
)

var slotEntries = []Entry{
	{
		Number:      SlotGranted,
		Name:        "slotGranted",
		Severity:    Info,
		Description: "A decode slot was granted to a request.",
	},
	{
		Number:      SlotRefused,
		Name:        "slotRefused",
		Severity:    Info,
		Description: "A request was refused a decode slot because too many requests of higher priority wait.",
	},
	{
		Number:      HoldCancelled,
		Name:        "holdCancelled",
		Severity:    Info,
		Description: "An engine's allocation was cancelled because no host is responsible for its request.",
	},
	{
		Number:      HoldStuck,
		Name:        "holdStuck",
		Severity:    Failure,
		Description: "An engine still has an allocation although its cancellation was sent repeatedly.",
		Action:      "Check the engine; restart it if it doesn't answer.",
	},
}
