package manifest

import (
	"cmp"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Maximum numbers of entries in a manifest.
const (
	MaxZones    = 64
	MaxServices = 1000
	MaxClasses  = 10_000
	MaxTeams    = 1000
)

// MaxTeamDepth is the maximum number of ancestors of a team.
const MaxTeamDepth = 16

// MaxNameBytes is the maximum length of a name in bytes.
const MaxNameBytes = 63

// Maximum values in a manifest. They are low enough that the sum of the resources of all
// teams fits in an int64.
const (
	MaxProcessors   resource.MilliProcessors = 1_000_000_000_000
	MaxMemory       resource.Bytes           = 1 << 53
	MaxAccelerators resource.Accelerators    = 1_000_000_000
	MaxBodySize     resource.Bytes           = 64 << 20
	// MaxResultSize is low enough that a result and its encoding fit in one table row.
	MaxResultSize      resource.Bytes = 4 << 20
	MaxServiceDuration                = Duration(time.Hour)
	MaxTaskDuration                   = Duration(30 * 24 * time.Hour)
	MaxFeedDuration                   = Duration(7 * 24 * time.Hour)
	MaxTaskAttempts                   = 100
	MaxWeight                         = 1_000_000
	MaxShardsPerZone                  = 1024
	MaxQueuedJobs                     = 10_000_000
	MaxTasksPerJob                    = 1_000_000
	MaxReturnRamp                     = Duration(24 * time.Hour)
)

// Check returns all faults of a manifest, in the order of its fields. A value of 0 that
// Defaults replaces is valid.
func Check(m Manifest) Findings {
	c := checker{teams: teamsByName(m.Teams)}
	c.checkCounts(m)
	c.checkZones(m.Zones)
	for i, service := range m.Services {
		c.checkService(service, indexPlace("Services", i))
	}
	checkUnique(&c, "Services", m.Services, func(s Service) ServiceName { return s.Name })
	for i, class := range m.Classes {
		c.checkClass(class, indexPlace("Classes", i))
	}
	checkUnique(&c, "Classes", m.Classes, func(class Class) ClassName { return class.Name })
	for i, team := range m.Teams {
		c.checkTeam(team, indexPlace("Teams", i))
	}
	checkUnique(&c, "Teams", m.Teams, func(t Team) TeamName { return t.Name })
	c.checkAncestors(m.Teams)
	c.checkLimits(m.Limits)
	return c.findings
}

// checker collects the findings of Check.
type checker struct {
	teams    map[TeamName]Team
	findings Findings
}

func (c *checker) checkCounts(m Manifest) {
	if len(m.Zones) == 0 {
		c.findings.add("Zones", "declare at least one", "no availability zone is declared")
	}
	c.checkCount("Zones", len(m.Zones), MaxZones)
	c.checkCount("Services", len(m.Services), MaxServices)
	c.checkCount("Classes", len(m.Classes), MaxClasses)
	c.checkCount("Teams", len(m.Teams), MaxTeams)
}

// checkCount checks the number of entries of a list.
func (c *checker) checkCount(place string, count, limit int) {
	if count > limit {
		c.findings.add(place, fmt.Sprintf("keep at most %d", limit), "there are %d entries", count)
	}
}

func (c *checker) checkZones(zones []Zone) {
	for i, zone := range zones {
		place := indexPlace("Zones", i)
		checkName(c, place+".Name", zone.Name)
		checkName(c, place+".Region", zone.Region)
	}
	checkUnique(c, "Zones", zones, func(z Zone) membership.Zone { return z.Name })
}

func (c *checker) checkService(s Service, place string) {
	checkName(c, place+".Name", s.Name)
	checkRange(c, place+".Target", s.Target, 1, MaxServiceDuration)
	checkRange(c, place+".MaxDuration", s.MaxDuration, 1, MaxServiceDuration)
	checkRange(c, place+".FirstByteTimeout", s.FirstByteTimeout, 0, MaxServiceDuration)
	checkRange(c, place+".IdleTimeout", s.IdleTimeout, 0, MaxServiceDuration)
	checkRange(c, place+".MaxFeedDuration", s.MaxFeedDuration, 0, MaxFeedDuration)
	checkRange(c, place+".RetryShare", s.RetryShare, 0, 1000)
	checkRange(c, place+".HedgePercentile", s.HedgePercentile, 0, 99)
	checkRange(c, place+".ErrorBudget", s.ErrorBudget, 0, 1000)
	checkRange(c, place+".MaxBody", s.MaxBody, 0, MaxBodySize)
	// The defaults of bounds that are 0 always satisfy these checks.
	withDefaults := s.withDefaults()
	checkUpperBound(c, place, "Target", s.Target, "MaxDuration", s.MaxDuration)
	checkUpperBound(c, place, "FirstByteTimeout", withDefaults.FirstByteTimeout, "MaxDuration", s.MaxDuration)
	checkUpperBound(c, place, "IdleTimeout", withDefaults.IdleTimeout, "MaxFeedDuration", withDefaults.MaxFeedDuration)
}

func (c *checker) checkClass(class Class, place string) {
	checkName(c, place+".Name", class.Name)
	c.checkResources(place+".Resources", class.Resources)
	if class.Resources.IsZero() {
		c.findings.add(place+".Resources", "declare what each task needs", "the tasks need nothing")
	}
	checkRange(c, place+".ExpectedDuration", class.ExpectedDuration, 1, MaxTaskDuration)
	checkRange(c, place+".MaxAttempts", class.MaxAttempts, 0, MaxTaskAttempts)
	if _, ok := c.teams[class.Team]; !ok {
		c.findings.add(place+".Team", "declare the team or name another", "the team %q is not declared", shorten(class.Team))
		return
	}
	c.checkClassQuota(class, place)
}

// checkClassQuota checks that a task of the class fits in the quotas of its team and of the
// ancestors of the team. Otherwise it could never start.
func (c *checker) checkClassQuota(class Class, place string) {
	team, ok := c.teams[class.Team]
	for depth := 0; ok && depth <= MaxTeamDepth; depth++ {
		if !class.Resources.FitsIn(team.Quota) {
			c.findings.add(place+".Resources", "lower them or raise the quota",
				"one task exceeds the quota of the team %q", shorten(team.Name))
			return
		}
		team, ok = c.teams[team.Parent]
	}
}

func (c *checker) checkTeam(t Team, place string) {
	checkName(c, place+".Name", t.Name)
	if _, ok := c.teams[t.Parent]; !ok && t.Parent != "" {
		c.findings.add(place+".Parent", "declare the team, name another or leave it empty",
			"the team %q is not declared", shorten(t.Parent))
	}
	c.checkResources(place+".Quota", t.Quota)
	c.checkResources(place+".UrgentQuota", t.UrgentQuota)
	if !t.UrgentQuota.FitsIn(t.Quota) {
		c.findings.add(place+".UrgentQuota", "lower it or raise Quota", "it exceeds Quota")
	}
	checkRange(c, place+".Weight", t.Weight, 0, MaxWeight)
}

// checkAncestors finds teams that are their own ancestors or are nested too deep.
func (c *checker) checkAncestors(teams []Team) {
	for i, team := range teams {
		place := indexPlace("Teams", i) + ".Parent"
		switch depth, cyclic := c.countAncestors(team); {
		case cyclic:
			c.findings.add(place, "make one team of the cycle the root, without a parent",
				"the team %q is its own ancestor", shorten(team.Name))
		case depth > MaxTeamDepth:
			c.findings.add(place, fmt.Sprintf("nest teams up to %d deep and without cycles", MaxTeamDepth),
				"the ancestors of the team %q don't end", shorten(team.Name))
		}
	}
}

// countAncestors counts the ancestors of a team, up to MaxTeamDepth+1, and reports whether
// the team is its own ancestor.
func (c *checker) countAncestors(start Team) (depth int, cyclic bool) {
	team, ok := c.teams[start.Parent]
	for ok && depth <= MaxTeamDepth {
		if team.Name == start.Name {
			return depth, true
		}
		depth++
		team, ok = c.teams[team.Parent]
	}
	return depth, false
}

func (c *checker) checkLimits(l Limits) {
	checkRange(c, "Limits.ShardsPerZone", l.ShardsPerZone, 0, MaxShardsPerZone)
	checkRange(c, "Limits.MaxQueuedJobs", l.MaxQueuedJobs, 0, MaxQueuedJobs)
	checkRange(c, "Limits.MaxTasksPerJob", l.MaxTasksPerJob, 0, MaxTasksPerJob)
	checkRange(c, "Limits.MaxPayload", l.MaxPayload, 0, MaxBodySize)
	checkRange(c, "Limits.MaxResult", l.MaxResult, 0, MaxResultSize)
	checkRange(c, "Limits.ReturnRamp", l.ReturnRamp, 0, MaxReturnRamp)
}

func (c *checker) checkResources(place string, v resource.Vector) {
	checkRange(c, place+".Processors", v.Processors, 0, MaxProcessors)
	checkRange(c, place+".Memory", v.Memory, 0, MaxMemory)
	checkRange(c, place+".Accelerators", v.Accelerators, 0, MaxAccelerators)
}

// checkName checks the syntax of a name. Names are used in table keys and URL paths.
func checkName[T ~string](c *checker, place string, value T) {
	fix := fmt.Sprintf("use 1 to %d letters, digits and dashes, a letter or digit first", MaxNameBytes)
	switch {
	case value == "":
		c.findings.add(place, fix, "the name is empty")
	case len(value) > MaxNameBytes:
		c.findings.add(place, fix, "the name has %d bytes", len(value))
	case value[0] == '-' || !hasOnlyNameCharacters(string(value)):
		c.findings.add(place, fix, "the name %q is malformed", value)
	}
}

func hasOnlyNameCharacters(value string) bool {
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// checkUnique finds duplicate names. It ignores empty names, which have a finding already.
func checkUnique[T any, N ~string](c *checker, place string, list []T, nameOf func(T) N) {
	first := make(map[N]int, len(list))
	for i, element := range list {
		elementName := nameOf(element)
		earlier, ok := first[elementName]
		if ok && elementName != "" {
			c.findings.add(indexPlace(place, i)+".Name", "choose another", "the name %q is already that of %s", shorten(elementName), indexPlace(place, earlier))
			continue
		}
		first[elementName] = i
	}
}

func checkRange[T cmp.Ordered](c *checker, place string, value, lowest, highest T) {
	if value < lowest || value > highest {
		c.findings.add(place, fmt.Sprintf("use %v to %v", displayValue(lowest), displayValue(highest)), "%v is out of range", displayValue(value))
	}
}

// checkUpperBound finds a duration that exceeds another field that bounds it.
func checkUpperBound(c *checker, place, field string, value Duration, boundField string, bound Duration) {
	if value > bound {
		c.findings.add(place+"."+field, fmt.Sprintf("lower it or raise %s", boundField),
			"%v exceeds %s, which is %v", displayValue(value), boundField, displayValue(bound))
	}
}

// displayValue returns a value that is formatted as in a manifest.
func displayValue(value any) any {
	if d, ok := value.(Duration); ok {
		return time.Duration(d)
	}
	return value
}

// teamsByName indexes teams by name. The first of several teams with a name is used.
func teamsByName(teams []Team) map[TeamName]Team {
	byName := make(map[TeamName]Team, len(teams))
	for _, team := range teams {
		if _, ok := byName[team.Name]; !ok && team.Name != "" {
			byName[team.Name] = team
		}
	}
	return byName
}
