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
)

var pathEntries = []Entry{
	{
		Number:   RequestArrived,
		Name:     "requestArrived",
		Severity: Info,
		Text:     "A request came from a caller; count is its prompt tokens, detail its class.",
	},
	{
		Number:   RequestPlaced,
		Name:     "requestPlaced",
		Severity: Info,
		Text:     "Engines were chosen for a request; server is the decode engine.",
	},
	{
		Number:   RequestPrefilled,
		Name:     "requestPrefilled",
		Severity: Info,
		Text:     "A prefill engine worked a prompt; count is the tokens that were not cached.",
	},
	{
		Number:   RequestFirstToken,
		Name:     "requestFirstToken",
		Severity: Info,
		Text:     "The first token of a request, or of its continuation, came; count is the index of the token.",
	},
	{
		Number:   RequestAnswered,
		Name:     "requestAnswered",
		Severity: Info,
		Text:     "A request got its whole answer; count is its tokens.",
	},
	{
		Number:   RequestGivenUp,
		Name:     "requestGivenUp",
		Severity: Warning,
		Text:     "A request got its final answer without being whole; detail has the verdict.",
	},
	{
		Number:   ServerFailedRequest,
		Name:     "serverFailedRequest",
		Severity: Warning,
		Text:     "A backend server failed a request, which is kept away from it.",
	},
	{
		Number:   StreamBroke,
		Name:     "streamBroke",
		Severity: Warning,
		Text:     "The stream of a decode engine broke or went silent; count is the token that was due.",
	},
	{
		Number:   StreamResumed,
		Name:     "streamResumed",
		Severity: Info,
		Text:     "A broken stream went on at the same engine over a new connection.",
	},
	{
		Number:   CancelUnanswered,
		Name:     "cancelUnanswered",
		Severity: Warning,
		Text:     "An engine did not answer a cancel, which is repeated.",
		Do:       "If it goes on, look at the engine: its slots stay taken.",
	},
	{
		Number:   CallerGone,
		Name:     "callerGone",
		Severity: Info,
		Text:     "A caller closed its connection before its answer was whole.",
	},
	{
		Number:   ServiceCalled,
		Name:     "serviceCalled",
		Severity: Info,
		Text:     "A call of a plain service was answered.",
	},
	{
		Number:   ServiceFailed,
		Name:     "serviceFailed",
		Severity: Warning,
		Text:     "A call of a plain service failed; detail has the verdict.",
	},
	{
		Number:   SlotMissed,
		Name:     "slotMissed",
		Severity: Info,
		Text:     "No slot was granted at the decode engine that was chosen; another is looked for.",
	},
	{
		Number:   HandlerPanicked,
		Name:     "handlerPanicked",
		Severity: Failure,
		Text:     "The program failed on a request of a caller, which it gave up; detail has the cause.",
		Do:       "Report it with the request's events; keep the request from being sent again.",
	},
	{
		Number:   PromptWasted,
		Name:     "promptWasted",
		Severity: Info,
		Text:     "A prompt was worked for nothing; count is its tokens, detail what became of its KV cache or of the stream that had it.",
	},
	{
		Number:   RequestDenied,
		Name:     "requestDenied",
		Severity: Info,
		Text:     "A request had no route, or no key of a customer; count is how many this line stands for, since few are written a second.",
	},
	{
		Number:   RequestOverQuota,
		Name:     "requestOverQuota",
		Severity: Info,
		Text:     "A customer asked more than its quota; count is how many requests this line stands for, took the time after which it was told to come back.",
	},
	{
		Number:   ServerEnded,
		Name:     "serverEnded",
		Severity: Warning,
		Text:     "A backend server ended while it had a request: the connection broke, and its address takes none any more; took is how long it had the request.",
		Do:       "Count such lines by print: one request at the end of several servers is likely their cause.",
	},
	{
		Number:   PoisonRefused,
		Name:     "poisonRefused",
		Severity: Info,
		Text:     "A request that ends servers was refused; count is how many requests this line stands for, took the time after which it may be tried again.",
	},
}
