package hingeevents

// Events of the request path.
const (
	RequestArrived      Number = 100
	RequestPlaced       Number = 101
	RequestPrefilled    Number = 102
	RequestFirstToken   Number = 103
	RequestAnswered     Number = 104
	RequestGivenUp      Number = 105
	ServerFailedRequest Number = 106
	StreamBroke         Number = 107
	StreamResumed       Number = 108
	CancelUnanswered    Number = 109
	CallerGone          Number = 110
	ServiceCalled       Number = 111
	ServiceFailed       Number = 112
	SlotMissed          Number = 113
	HandlerPanicked     Number = 114
	PromptWasted        Number = 115
	RequestDenied       Number = 116
	RequestOverQuota    Number = 117
	ServerEnded         Number = 118
	PoisonRefused       Number = 119
	ServerNoticed       Number = 120
	ServerNoticeUnread  Number = 121
	ServerPathLost      Number = 122
	ServerPathRegained  Number = 123
)

var pathEntries = []Entry{
	{
		Number:      RequestArrived,
		Name:        "requestArrived",
		Severity:    Info,
		Description: "A request was received from a caller; count is its prompt tokens, detail its class.",
	},
	{
		Number:      RequestPlaced,
		Name:        "requestPlaced",
		Severity:    Info,
		Description: "Engines were chosen for a request; server is the decode engine.",
	},
	{
		Number:      RequestPrefilled,
		Name:        "requestPrefilled",
		Severity:    Info,
		Description: "A prefill engine completed the prefill of a prompt; count is the tokens that were not cached.",
	},
	{
		Number:      RequestFirstToken,
		Name:        "requestFirstToken",
		Severity:    Info,
		Description: "The first token of a request, or of its continuation, was received; count is the index of the token.",
	},
	{
		Number:      RequestAnswered,
		Name:        "requestAnswered",
		Severity:    Info,
		Description: "A request got its whole answer; count is its tokens.",
	},
	{
		Number:      RequestGivenUp,
		Name:        "requestGivenUp",
		Severity:    Warning,
		Description: "A request ended without a complete answer; detail has the verdict.",
	},
	{
		Number:      ServerFailedRequest,
		Name:        "serverFailedRequest",
		Severity:    Warning,
		Description: "A request failed at a backend server, and is not sent to this server again.",
	},
	{
		Number:      StreamBroke,
		Name:        "streamBroke",
		Severity:    Warning,
		Description: "The stream of a decode engine broke or stalled; count is the index of the next expected token.",
	},
	{
		Number:      StreamResumed,
		Name:        "streamResumed",
		Severity:    Info,
		Description: "A broken stream was resumed at the same engine over a new connection.",
	},
	{
		Number:      CancelUnanswered,
		Name:        "cancelUnanswered",
		Severity:    Warning,
		Description: "An engine did not answer a cancel, which is retried.",
		Action:      "If it persists, check the engine: its slots stay occupied.",
	},
	{
		Number:      CallerGone,
		Name:        "callerGone",
		Severity:    Info,
		Description: "A caller disconnected before its answer was complete.",
	},
	{
		Number:      ServiceCalled,
		Name:        "serviceCalled",
		Severity:    Info,
		Description: "A call to a plain service was answered.",
	},
	{
		Number:      ServiceFailed,
		Name:        "serviceFailed",
		Severity:    Warning,
		Description: "A call to a plain service failed; detail has the verdict.",
	},
	{
		Number:      SlotMissed,
		Name:        "slotMissed",
		Severity:    Info,
		Description: "The chosen decode engine granted no slot; another engine is chosen.",
	},
	{
		Number:      HandlerPanicked,
		Name:        "handlerPanicked",
		Severity:    Failure,
		Description: "The handler of a caller's request panicked, and the request failed; detail has the cause.",
		Action:      "Report it with the request's events, and prevent the request from being resent.",
	},
	{
		Number:      PromptWasted,
		Name:        "promptWasted",
		Severity:    Info,
		Description: "The prefill of a prompt was not used; count is its tokens, detail says what happened to its KV cache or stream.",
	},
	{
		Number:      RequestDenied,
		Name:        "requestDenied",
		Severity:    Info,
		Description: "A request was denied because it had no route or no valid key of a customer; count is the number of requests that this event stands for, since its rate is limited.",
	},
	{
		Number:      RequestOverQuota,
		Name:        "requestOverQuota",
		Severity:    Info,
		Description: "A request was refused because it exceeded its customer's quota; count is the number of requests that this event stands for, took the retry time that was returned.",
	},
	{
		Number:      ServerEnded,
		Name:        "serverEnded",
		Severity:    Warning,
		Description: "A backend server crashed while it ran a request: the connection broke, and its address accepts no new one; took is how long it had run the request; detail has the digests of the prompt's shared parts.",
		Action:      "Count these events by the field print: a request that was running during several crashes is likely their cause.",
	},
	{
		Number:      PoisonRefused,
		Name:        "poisonRefused",
		Severity:    Info,
		Description: "A poison request, which crashes servers, was refused; count is the number of requests that this event stands for, took the time until a retry may be accepted.",
	},
	{
		Number:      ServerNoticed,
		Name:        "serverNoticed",
		Severity:    Info,
		Description: "A backend server stated a rate limit, that it leaves or a backoff in an answer to this host, or states it no longer; detail has what it stated, count is the number of statements that this event stands for.",
	},
	{
		Number:      ServerNoticeUnread,
		Name:        "serverNoticeUnread",
		Severity:    Warning,
		Description: "A backend server stated something about itself in a header that can't be read, which counts as absent; count is the number of answers that this event stands for.",
		Action:      "Correct the header at the server.",
	},
	{
		Number:      ServerPathLost,
		Name:        "serverPathLost",
		Severity:    Warning,
		Description: "This host can't connect to a backend server to which another entry host can, and uses that host; count is the number of such servers.",
		Action:      "Check the network between this host and the backend servers.",
	},
	{
		Number:      ServerPathRegained,
		Name:        "serverPathRegained",
		Severity:    Info,
		Description: "This host connects to all backend servers that it uses itself again; tookMs is how long it didn't.",
	},
}
