package experiment

// Notices declares the experiment on information from sparse peers.
type Notices struct {
	Owners    int       `yaml:"owners"`
	Upstreams int       `yaml:"upstreams"`
	Rates     []float64 `yaml:"rates"`
}

type noticeResult struct{}

func (n Notices) run(uint64) []noticeResult { return nil }

func noticeRows([]noticeResult) [][]string { return nil }

func (c *check) notices(n Notices) {
	c.between("notices.owners", float64(n.Owners), 1, maxDaemons)
	c.between("notices.upstreams", float64(n.Upstreams), 2, maxUpstreams)
	if len(n.Rates) == 0 {
		c.fail("notices.rates", "at least one rate is needed")
	}
}
