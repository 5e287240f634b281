package core

import (
	"context"
	"time"
)

// Passage is one retrieved piece of text.
type Passage struct {
	ID    string
	Text  string
	Score float64
}

// LoadReport is the load that a target reports; Age is how old the figures are.
type LoadReport struct {
	StartID  string // changes with each start of the target
	Running  int
	Waiting  int
	Capacity int
	Models   []string
	Age      time.Duration
}

// CacheEvent reports that a prompt block entered or left a target's cache.
type CacheEvent struct {
	Sequence int64
	Block    uint64
	Stored   bool
}

// TargetCall addresses one attempt of one stage.
type TargetCall struct {
	Address  string
	Request  RequestID
	Stage    string
	Attempt  int
	Deadline time.Time
	// FirstByte is the maximum wait for the first byte or token of the response; 0 means until the deadline.
	FirstByte time.Duration
	// UntilDeadline lets the call wait for a silent target until its deadline, because no other attempt can follow it.
	UntilDeadline bool
	Priority      int
	// BeforeSend is called immediately before the first byte is written; an error stops the call unsent.
	BeforeSend func() error
}

// TargetInfo identifies the responding target and says how far the call got.
type TargetInfo struct {
	StartID    string
	Sent       bool // at least one byte may have been written
	Outcome    Outcome
	FirstToken time.Duration
	Took       time.Duration
}

// GenerateInput is the prompt of a generating stage.
type GenerateInput struct {
	Model          string
	Prompt         string
	MaxTokens      int
	ReceivedTokens int    // tokens already received; the stream resumes after them
	ReceivedText   string // the text of these tokens
}

// Token is one event of generated text: Count tokens, the first of which has the offset in the answer, from 0.
type Token struct {
	Offset int
	Count  int
	Text   string
}

// Targets sends calls to targets.
//
// Failed calls return an *Error; TargetInfo is valid in all cases.
type Targets interface {
	// Embed returns the vector of a text.
	Embed(ctx context.Context, call TargetCall, model, text string) ([]float32, TargetInfo, error)
	// Search returns the best passages for a query.
	Search(ctx context.Context, call TargetCall, query string, vector []float32, top int) ([]Passage, TargetInfo, error)
	// Rerank returns the passages in order of relevance, cut to top.
	Rerank(ctx context.Context, call TargetCall, model, query string, passages []Passage, top int) ([]Passage, TargetInfo, error)
	// Generate calls emit for each token in order; it returns nil only after the target's end marker.
	Generate(ctx context.Context, call TargetCall, input GenerateInput, emit func(Token) error) (TargetInfo, error)
	// Call posts a JSON body to a plain service and returns its JSON response.
	Call(ctx context.Context, call TargetCall, path, key string, body []byte) ([]byte, TargetInfo, error)
	// Load returns the target's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// CacheEvents returns events after the sequence; the first may be later than after+1 when there is a gap.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Order sends an order; a target that knows a newer fencing token returns an *Error of kind Conflict.
	Order(ctx context.Context, address string, order Order) error
}

// OrderAction is what an order asks for.
type OrderAction int

// The actions of orders.
const (
	LoadModel OrderAction = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
	ChangeRole
)

// Order is a command to a target to load or unload a model or adapter, or to change its role.
type Order struct {
	Action  OrderAction
	Name    string // model, adapter or role
	Version string
	Fencing FencingToken
	Timeout time.Duration // maximum time that the target may work on the order
}

// OnceRecord is the stored state of an at-most-once call.
type OnceRecord struct {
	Done     bool
	BodyHash string
	Attempt  string // random token of the attempt that created the record
	Member   MemberID
	Response []byte
}

// Once guards calls that must run at most once.
type Once interface {
	// Check returns BadRequest or KeyExpired for a key that Begin would reject, without a store call.
	Check(team TeamName, key string) error
	// Begin records the start of a call; it returns the stored response when the call is already done.
	//
	// Errors are KeyReused, KeyExpired, BadRequest, Unavailable (all "not run") and OutcomeUnknown.
	Begin(ctx context.Context, team TeamName, key, bodyHash string) (attempt string, response []byte, err error)
	// Finish stores the response of the call that Begin recorded.
	Finish(ctx context.Context, team TeamName, key, attempt string, response []byte) error
	// Abandon removes the record of a call that has certainly sent no byte.
	Abandon(ctx context.Context, team TeamName, key, attempt string) error
}
