package ticket

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

// ReasonFull is the reason of the refusal of tickets beyond MaxLive.
const ReasonFull service.Reason = "TicketsFull"

// Issued is the JSON answer of POST /tickets.
type Issued struct {
	Tickets []string
	// Window is how long the tickets can be claimed, as a Go duration string. It starts
	// no later than the answer.
	Window string
}

// Handler serves POST /tickets?count=N. The default count is 1.
type Handler struct {
	Home     *Home
	Counters service.Counters
}

// ServeHTTP issues tickets.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	count, findings := checkRequest(r)
	if len(findings) > 0 {
		h.writeRefusal(w, http.StatusBadRequest, service.Refusal{Reason: service.ReasonInvalid}, findings...)
		return
	}
	tickets, err := h.Home.Issue(count)
	if err != nil {
		// Tickets expire in batches of one second, so a retry after one may succeed.
		h.writeRefusal(w, http.StatusServiceUnavailable, service.Refusal{Reason: ReasonFull, RetryAfter: time.Second})
		return
	}
	h.Counters.Add("Ticket.Issued", int64(count))
	body := Issued{Window: Window.String()}
	for _, t := range tickets {
		body.Tickets = append(body.Tickets, t.String())
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected; its tickets expire unused.
	_ = json.NewEncoder(w).Encode(body)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, status int, refusal service.Refusal, findings ...service.Finding) {
	h.Counters.Add("Ticket.Refused."+string(refusal.Reason), 1)
	service.WriteRefusal(w, status, refusal, findings...)
}

// checkRequest returns the requested count and all faults of the request.
func checkRequest(r *http.Request) (int, []service.Finding) {
	var findings []service.Finding
	if r.Method != http.MethodPost {
		findings = append(findings, service.Finding{Place: "method", Problem: r.Method + " is not allowed", Fix: "use POST"})
	}
	query := r.URL.Query()
	for name := range query {
		if name != "count" {
			findings = append(findings, service.Finding{Place: "query " + name, Problem: "is not known", Fix: "leave it out"})
		}
	}
	if !query.Has("count") {
		return 1, findings
	}
	count, err := strconv.Atoi(query.Get("count"))
	if err != nil || count < 1 || count > MaxCount || len(query["count"]) > 1 {
		findings = append(findings, service.Finding{
			Place:   "query count",
			Problem: fmt.Sprintf("%q is not a count", query["count"]),
			Fix:     fmt.Sprintf("send one number from 1 to %d", MaxCount),
		})
	}
	return count, findings
}
