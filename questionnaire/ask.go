package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"kumquathitch.example/kumquathitch"
)

// question is one question of the dialogue. accept stores a valid answer; for an
// invalid one it returns an error with the reason.
type question struct {
	text   string
	repeat bool // Repeated until the answer is empty.
	accept func(a *Answers, text string) error
}

var questions = []question{
	{"Name of the site", false, acceptSite},
	{"Data centres, as NAME@REGION, separated by commas", false, acceptDataCentres},
	{"Number of entry VMs in all data centres together", false, acceptEntryVMs},
	{"Servers with model engines, as NAME ACCELERATORS GIB-EACH ADAPTER-POOL-GIB checks|ignores DATA-CENTRE=ADDRESS ...\n" +
		"  (checks: the engines refuse orders with an old fencing token)", true, acceptEngines},
	{"Models, as NAME GIB CACHE-RESERVE-GIB interactive|standard|batch", true, acceptModel},
	{"Adapters, as MODEL MIB NAME ...", true, acceptAdapters},
	{"Plain services, as NAME DATA-CENTRE=ADDRESS ...", true, acceptService},
	{"Calls of services, as SERVICE METHOD PATH idempotent|non-idempotent [key-required] [open]\n" +
		"  (a booking or an order is non-idempotent; key-required refuses it without an Idempotency-Key)", true, acceptCall},
	{"Client accounts, as NAME gold|silver|bronze TOKENS-PER-SECOND BURST-TOKENS MODEL ... (* for all)", true, acceptAccount},
	{"Weight store, as LOADS-PER-SECOND LOADS-AT-ONCE ADAPTERS-IN-FLIGHT", false, acceptWeightStore},
	{"Primary measure, which breaks ties when load is shed, as worst-served|refusals", false, acceptPrimaryMeasure},
}

// Ask writes each question to out and reads the answers from in, one per line. After
// an invalid answer it writes the reason and repeats the question. It returns
// io.ErrUnexpectedEOF when in ends early.
func Ask(in io.Reader, out io.Writer) (Answers, error) {
	var answers Answers
	lines := bufio.NewScanner(in)
	for _, q := range questions {
		if err := q.ask(&answers, lines, out); err != nil {
			return answers, err
		}
	}
	return answers, nil
}

func (q *question) ask(answers *Answers, lines *bufio.Scanner, out io.Writer) error {
	for {
		suffix := ""
		if q.repeat {
			suffix = " (empty line: no more)"
		}
		_, _ = fmt.Fprintf(out, "%s%s: ", q.text, suffix)
		if !lines.Scan() {
			return errors.Join(lines.Err(), io.ErrUnexpectedEOF)
		}
		text := strings.TrimSpace(lines.Text())
		if q.repeat && text == "" {
			return nil
		}
		if err := q.accept(answers, text); err != nil {
			_, _ = fmt.Fprintf(out, "  %v\n", err)
			continue
		}
		if !q.repeat {
			return nil
		}
	}
}

// invalidAnswerError reports an invalid answer and states the valid ones.
type invalidAnswerError struct {
	Value   string
	Allowed string
}

func (e *invalidAnswerError) Error() string {
	return fmt.Sprintf("%q is not valid: %s.", e.Value, e.Allowed)
}

func acceptSite(a *Answers, text string) error {
	if text == "" {
		return &invalidAnswerError{text, "give a name"}
	}
	a.Site = text
	return nil
}

func acceptDataCentres(a *Answers, text string) error {
	var centres kumquathitch.DataCentres
	for part := range strings.SplitSeq(text, ",") {
		name, region, ok := strings.Cut(strings.TrimSpace(part), "@")
		if !ok || name == "" || region == "" {
			return &invalidAnswerError{part, "write a name, @ and a region, such as montreal-1@quebec"}
		}
		centres = append(centres, kumquathitch.DataCentre{Name: name, Region: region})
	}
	a.DataCentres = centres
	return nil
}

func acceptEntryVMs(a *Answers, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		return &invalidAnswerError{text, "give a whole number above 0"}
	}
	a.EntryVMs = n
	return nil
}

// engineFieldCount is the number of fields before the addresses in an answer about engines.
const engineFieldCount = 5

func acceptEngines(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) <= engineFieldCount {
		return &invalidAnswerError{text, "give a name, four properties and at least one DATA-CENTRE=ADDRESS"}
	}
	numbers, err := parseNumbers(fields[1:4])
	if err != nil {
		return err
	}
	if fields[4] != "checks" && fields[4] != "ignores" {
		return &invalidAnswerError{fields[4], "write checks or ignores"}
	}
	addresses, err := parseAddresses(a, fields[engineFieldCount:])
	if err != nil {
		return err
	}
	a.Engines = append(a.Engines, EngineGroup{
		Name: fields[0], Accelerators: int(numbers[0]), AcceleratorGiB: numbers[1], AdapterPoolGiB: numbers[2],
		ChecksFencing: fields[4] == "checks", Addresses: addresses,
	})
	return nil
}

func acceptModel(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) != 4 {
		return &invalidAnswerError{text, "give a name, two sizes in GiB and a class"}
	}
	numbers, err := parseNumbers(fields[1:3])
	if err != nil {
		return err
	}
	a.Models = append(a.Models, Model{Name: fields[0], GiB: numbers[0], CacheReserveGiB: numbers[1], Class: fields[3]})
	return nil
}

func acceptAdapters(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 3 {
		return &invalidAnswerError{text, "give a model, a size in MiB and at least one name"}
	}
	numbers, err := parseNumbers(fields[1:2])
	if err != nil {
		return err
	}
	a.Adapters = append(a.Adapters, AdapterGroup{Model: fields[0], MiB: numbers[0], Names: fields[2:]})
	return nil
}

func acceptService(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return &invalidAnswerError{text, "give a name and at least one DATA-CENTRE=ADDRESS"}
	}
	addresses, err := parseAddresses(a, fields[1:])
	if err != nil {
		return err
	}
	a.Services = append(a.Services, Service{Name: fields[0], Addresses: addresses})
	return nil
}

func acceptCall(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 4 || (fields[3] != "idempotent" && fields[3] != "non-idempotent") {
		return &invalidAnswerError{text, "give a service, a method, a path, and idempotent or non-idempotent"}
	}
	call := ServiceCall{Method: fields[1], Path: fields[2], Idempotent: fields[3] == "idempotent"}
	for _, option := range fields[4:] {
		switch option {
		case "key-required":
			call.RequireIdempotencyKey = true
		case "open":
			call.Open = true
		default:
			return &invalidAnswerError{option, "write key-required or open, or leave it out"}
		}
	}
	for i := range a.Services {
		if a.Services[i].Name == fields[0] {
			a.Services[i].Calls = append(a.Services[i].Calls, call)
			return nil
		}
	}
	return &invalidAnswerError{fields[0], "give the name of one of the services entered above"}
}

func acceptAccount(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 4 {
		return &invalidAnswerError{text, "give a name, a class, a rate, a burst and the models"}
	}
	numbers, err := parseNumbers(fields[2:4])
	if err != nil {
		return err
	}
	a.Accounts = append(a.Accounts, Account{
		Name: fields[0], Class: fields[1], Rate: numbers[0], Burst: numbers[1], Models: fields[4:],
	})
	return nil
}

func acceptWeightStore(a *Answers, text string) error {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return &invalidAnswerError{text, "give three numbers"}
	}
	numbers, err := parseNumbers(fields)
	if err != nil {
		return err
	}
	a.WeightStore = kumquathitch.WeightStore{
		LoadsPerSecond: numbers[0], LoadsAtOnce: int(numbers[1]), AdaptersInFlight: int(numbers[2]),
	}
	return nil
}

func acceptPrimaryMeasure(a *Answers, text string) error {
	if text != kumquathitch.MeasureWorstServed && text != kumquathitch.MeasureRefusals {
		return &invalidAnswerError{text, "write worst-served or refusals"}
	}
	a.PrimaryMeasure = text
	return nil
}

func parseNumbers(fields []string) ([]float64, error) {
	numbers := make([]float64, len(fields))
	for i, text := range fields {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value < 0 {
			return nil, &invalidAnswerError{text, "give a number, at least 0"}
		}
		numbers[i] = value
	}
	return numbers, nil
}

func parseAddresses(a *Answers, fields []string) (map[string][]string, error) {
	addresses := map[string][]string{}
	for _, text := range fields {
		centre, address, ok := strings.Cut(text, "=")
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			return nil, &invalidAnswerError{text, "write a data centre, = and an IP address with a port, such as montreal-1=10.0.0.7:8000"}
		}
		found := false
		for _, d := range a.DataCentres {
			found = found || d.Name == centre
		}
		if !found {
			return nil, &invalidAnswerError{centre, "give the name of one of the data centres entered above"}
		}
		addresses[centre] = append(addresses[centre], address)
	}
	return addresses, nil
}
