package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Bounds of declared values.
const (
	MaxStages    = 16
	maxWeight    = 1000
	maxCapacity  = 4096
	maxTop       = 1000
	maxMaxTokens = 1 << 17
	maxRetries   = 10
	maxQueue     = 1_000_000
	minBodyBytes = 1 << 10
	maxBodyBytes = 64 << 20
	maxDeadline  = time.Hour
	maxDelay     = 10 * time.Second
	minPeriod    = time.Minute
	maxPeriod    = 366 * 24 * time.Hour
	sha256Bytes  = 32
)

// checkObject returns the problems that can be found in the object alone, without its references.
func checkObject(object Object) []Problem {
	checker := &checker{ref: object.Ref}
	checker.require(ValidName(object.Ref.Name), "Name", object.Ref.Name, nameExpected)
	checker.require(object.Ref.Kind.Known(), "Kind", string(object.Ref.Kind), "one of "+joinKinds())
	checker.require(object.Ticket >= 0, "Ticket", object.Ticket, "a number from 0")
	if !object.WellFormed() {
		expected := fmt.Sprintf("exactly the state of %s, or none with Deleted", object.Ref)
		checker.require(false, "State", fmt.Sprint(object.stateRefs()), expected)
		return checker.problems
	}
	if object.Deleted {
		return checker.problems
	}
	checker.state(object)
	return checker.problems
}

func joinKinds() string {
	names := make([]string, 0, kindCount)
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func (checker *checker) state(object Object) {
	switch object.Ref.Kind {
	case KindTeam:
		checker.team(*object.Team)
	case KindDataCentre:
		checker.dataCentre(*object.DataCentre)
	case KindService:
		checker.service(*object.Service)
	case KindTarget:
		checker.target(*object.Target)
	case KindPipeline:
		checker.pipeline(*object.Pipeline)
	case KindServiceLevel:
		checker.serviceLevel(*object.ServiceLevel)
	case KindLimits:
		checker.limits(*object.Limits)
	}
}

func (checker *checker) team(team Team) {
	checker.within(team.Weight, 0, maxWeight, "Weight")
	digest, err := hex.DecodeString(team.TokenSHA256)
	valid := team.TokenSHA256 == "" || err == nil && len(digest) == sha256Bytes
	valid = valid && strings.ToLower(team.TokenSHA256) == team.TokenSHA256
	checker.require(valid, "TokenSHA256", team.TokenSHA256, "64 lower-case hex digits, or nothing")
}

func (checker *checker) dataCentre(dataCentre DataCentre) {
	checker.require(ValidName(dataCentre.Region), "Region", dataCentre.Region, nameExpected)
	checker.placement(dataCentre.State)
}

func (checker *checker) placement(state Placement) {
	checker.require(state == In || state == Out, "State", state, "In or Out")
}

func (checker *checker) service(service Service) {
	checker.require(Encode <= service.Kind && service.Kind <= Call, "Kind", service.Kind,
		"one of "+strings.Join(ServiceKindNames(), ", "))
	hasModel := service.Kind == Encode || service.Kind == Rerank || service.Kind == Generate
	checker.require(!hasModel || service.Model != "", "Model", service.Model, "the name of the model")
	checker.require(!strings.ContainsFunc(service.Model, isControl), "Model", service.Model, "text without control characters")
	checker.require(!strings.ContainsFunc(service.Version, isControl), "Version", service.Version, "text without control characters")
	checker.text("Model", service.Model)
	checker.within(service.Capacity, 0, maxCapacity, "Capacity")
	checker.within(service.ColdLimit, 0, maxCapacity, "ColdLimit")
	checker.within(service.WarmAfter, 0, maxCapacity, "WarmAfter")
	checker.require(service.WeightBytes >= 0, "WeightBytes", service.WeightBytes, "0 or more bytes")
	capacity := max(service.Capacity, 1)
	checker.require(max(service.ColdLimit, 1) <= capacity, "ColdLimit", service.ColdLimit,
		fmt.Sprintf("at most the Capacity of %d", capacity))
	checker.duration(service.LeastTime, 0, maxDeadline, "LeastTime")
}

func isControl(char rune) bool { return char < ' ' || char == 0x7f }

func (checker *checker) duration(value, minimum, maximum time.Duration, key string) {
	expected := fmt.Sprintf("a duration from %s to %s", minimum, maximum)
	checker.require(minimum <= value && value <= maximum, key, value, expected)
}

func (checker *checker) target(target Target) {
	checker.require(ValidAddress(target.Address), "Address", target.Address, "IP:port")
	checker.placement(target.State)
}

// ValidAddress reports whether the text is an IP address with a port from 1 to 65535.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
}

func (checker *checker) serviceLevel(serviceLevel ServiceLevel) {
	objective := serviceLevel.Objective
	checker.require(0 < objective && objective < 1, "Objective", objective, "a share between 0 and 1, such as 0.99")
	checker.duration(serviceLevel.Period, minPeriod, maxPeriod, "Period")
}

func (checker *checker) limits(limits Limits) {
	checker.require(checker.ref.Name == LimitsName, "Name", checker.ref.Name, LimitsName)
	checker.within(limits.RetriesPerRequest, 0, maxRetries, "RetriesPerRequest")
	checker.require(0 <= limits.RetryRatio && limits.RetryRatio <= 1, "RetryRatio", limits.RetryRatio, "a share from 0 to 1")
	checker.within(limits.QueueLength, 1, maxQueue, "QueueLength")
	checker.require(limits.WeightRate >= 0, "WeightRate", limits.WeightRate, "0 or more bytes a second")
	checker.within(limits.BodyBytes, minBodyBytes, maxBodyBytes, "BodyBytes")
	checker.duration(limits.SameRegionDelay, 0, maxDelay, "SameRegionDelay")
	checker.duration(limits.OtherRegionDelay, 0, maxDelay, "OtherRegionDelay")
}

func (checker *checker) pipeline(pipeline Pipeline) {
	checker.duration(pipeline.Deadline, time.Millisecond, maxDeadline, "Deadline")
	count := len(pipeline.Stages)
	checker.require(1 <= count && count <= MaxStages, "Stages", fmt.Sprintf("%d stages", count),
		fmt.Sprintf("1 to %d stages", MaxStages))
	seen := map[string]bool{}
	for _, stage := range pipeline.Stages {
		checker.stage = stage.Name
		checker.require(ValidName(stage.Name), "Name", stage.Name, nameExpected)
		checker.require(!seen[stage.Name], "Name", stage.Name, "a name that no other stage of the pipeline has")
		checker.within(stage.Top, 0, maxTop, "Top")
		checker.within(stage.MaxTokens, 0, maxMaxTokens, "MaxTokens")
		seen[stage.Name] = true
	}
	checker.stage = ""
}
