package hingeevents

// Events of orders to engines.
const (
	OrderSent       Number = 600
	OrderUnanswered Number = 601
	OrderRefused    Number = 602
	IssuerReplaced  Number = 603
)

var orderEntries = []Entry{
	{
		Number:      OrderSent,
		Name:        "orderSent",
		Severity:    Info,
		Description: "An order was sent to an engine.",
	},
	{
		Number:      OrderUnanswered,
		Name:        "orderUnanswered",
		Severity:    Warning,
		Description: "An engine did not answer an order in time; its state is queried before the next order.",
	},
	{
		Number:      OrderRefused,
		Name:        "orderRefused",
		Severity:    Failure,
		Description: "An engine refused an order.",
		Action:      "Compare the engine's configuration in the inventory with its capabilities.",
	},
	{
		Number:      IssuerReplaced,
		Name:        "issuerReplaced",
		Severity:    Warning,
		Description: "An engine refused an order because it has received a higher fencing number: another host issues orders now.",
	},
}
