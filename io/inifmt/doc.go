// Package inifmt reads and writes tickets and daemon settings as INI files.
//
// Keys are PascalCase, with one "Key = value" per line. Comments are on their own lines and start with "#" or ";".
// Durations have a unit ("1.5s"), booleans are "true" or "false", lists are separated by commas. Text that contains line
// breaks or other unprintable characters, or starts with a quotation mark, is quoted as in Go. Unknown sections and keys
// are errors, and all problems of a file are reported at once, each with file, line, section and key.
//
// Sections of a ticket file; "!" marks required keys and parentheses give defaults:
//
//	[Ticket]                 Number!, Operator!, Note
//	[Team NAME]              Weight, TokenSHA256
//	[DataCentre NAME]        Region!, State (In or Out; In)
//	[Service NAME]           Kind!, Model, Version, WeightBytes (0), Capacity (1), ColdLimit (1), WarmAfter (0), LeastTime (0s), MayRepeat (false), ChecksFencing (false)
//	[Target NAME]            Service!, DataCentre!, Address! (IP:port), State (In)
//	[Pipeline NAME]          Deadline!, Stages! (list)
//	[Stage PIPELINE/STAGE]   Service!, Top, MaxTokens, Path
//	[ServiceLevel PIPELINE]  Objective!, Period!
//	[Limits Default]         RetriesPerRequest, RetryRatio, QueueLength, BodyBytes, WeightRate, SameRegionDelay, OtherRegionDelay
//
// "Delete = true" as the only key of a section removes the object.
//
// Sections of a settings file of the serve command:
//
//	[Daemon]  Name (catkincove), Listen (127.0.0.1:7070), Advertise (Listen), DataCentre!, KeepFor (30s),
//	          LogLevel (debug, info, warn or error; info), LogFormat (json or console; json)
//	[Store]   Endpoints! (list of http URLs), Timeout (1s)
//	[VMList]  URL (none)
//	[Peers]   Seeds (list of IP:port; none)
package inifmt
