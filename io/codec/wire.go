package codec

// The wire structs have no tags: their field names are the JSON keys. Durations are written as Go duration strings and
// enum values by name, so that operators can read the values in the store.

type wireObject struct {
	Kind         string
	Name         string
	Ticket       int64
	Deleted      bool
	Team         *wireTeam
	DataCentre   *wireDataCentre
	Service      *wireService
	Target       *wireTarget
	Pipeline     *wirePipeline
	ServiceLevel *wireServiceLevel
	Limits       *wireLimits
}

type wireTeam struct {
	Weight      int
	TokenSHA256 string
}

type wireDataCentre struct {
	Region string
	State  string
}

type wireService struct {
	Kind          string
	Model         string
	Version       string
	WeightBytes   int64
	Capacity      int
	ColdLimit     int
	WarmAfter     int
	LeastTime     string
	MayRepeat     bool
	ChecksFencing bool
}

type wireTarget struct {
	Service    string
	DataCentre string
	Address    string
	State      string
}

type wireStage struct {
	Name      string
	Service   string
	Top       int
	MaxTokens int
	Path      string
}

type wirePipeline struct {
	Deadline string
	Stages   []wireStage
}

type wireServiceLevel struct {
	Objective float64
	Period    string
}

type wireLimits struct {
	RetriesPerRequest int
	RetryRatio        float64
	QueueLength       int
	BodyBytes         int
	WeightRate        int64
	SameRegionDelay   string
	OtherRegionDelay  string
}

type wireTicket struct {
	Number   int64
	Operator string
	Note     string
	Objects  []wireObject
}

type wireOnce struct {
	Done     bool
	BodyHash string
	Attempt  string
	Member   string
	Answer   []byte // base64 in JSON
}
