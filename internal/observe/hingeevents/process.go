package hingeevents

// Events of the process itself.
const (
	ProcessStarted   Number = 900
	ProcessReady     Number = 901
	ProcessUnready   Number = 902
	ProcessDraining  Number = 903
	ProcessStopped   Number = 904
	LifeDeclaredOver Number = 905
	LifeRecordedOver Number = 906
)

var processEntries = []Entry{
	{
		Number:      ProcessStarted,
		Name:        "processStarted",
		Severity:    Info,
		Description: "The process started.",
	},
	{
		Number:      ProcessReady,
		Name:        "processReady",
		Severity:    Info,
		Description: "The process takes requests, and tells the balancer so.",
	},
	{
		Number:      ProcessUnready,
		Name:        "processUnready",
		Severity:    Warning,
		Description: "The process takes no new requests for now, and tells the balancer so.",
	},
	{
		Number:      ProcessDraining,
		Name:        "processDraining",
		Severity:    Info,
		Description: "The process finishes its requests in progress and accepts no new ones.",
	},
	{
		Number:      ProcessStopped,
		Name:        "processStopped",
		Severity:    Info,
		Description: "The process ended with no request in progress.",
	},
	{
		Number:      LifeDeclaredOver,
		Name:        "lifeDeclaredOver",
		Severity:    Warning,
		Description: "Other hosts declared this host's instance over; its callers got their final answers, and a new instance starts.",
	},
	{
		Number:      LifeRecordedOver,
		Name:        "lifeRecordedOver",
		Severity:    Warning,
		Description: "The leader recorded that a host's instance is over; what it held is released to other hosts.",
	},
}
