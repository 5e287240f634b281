package entry

import (
	"io"
	"net/http"
	"strconv"

	"catkincove/core"
	"catkincove/io/answer"
)

func (api API) applyTicket(writer http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxTicketBytes))
	if err != nil {
		answer.WriteError(writer, core.Errorf(core.BadRequest, "ticket body: %v", err))
		return
	}
	body, err := api.Daemon.ApplyTicket(request.Context(), text)
	writeResult(writer, body, err)
}

func (api API) listTickets(writer http.ResponseWriter, request *http.Request) {
	numbers, err := api.Daemon.Tickets(request.Context())
	writeResult(writer, numbers, err)
}

func (api API) showTicket(writer http.ResponseWriter, request *http.Request) {
	number, err := ticketNumber(request)
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	text, err := api.Daemon.Ticket(request.Context(), number)
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write(text)
}

func (api API) ticketStatus(writer http.ResponseWriter, request *http.Request) {
	number, err := ticketNumber(request)
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	body, err := api.Daemon.TicketStatus(request.Context(), number)
	writeResult(writer, body, err)
}

func (api API) status(writer http.ResponseWriter, request *http.Request) {
	status, err := api.Daemon.Status(request.Context())
	writeResult(writer, status, err)
}

func (api API) report(writer http.ResponseWriter, _ *http.Request) {
	report, err := api.Daemon.Report()
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(report)
}

func ticketNumber(request *http.Request) (int64, error) {
	text := request.PathValue("number")
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number <= 0 {
		return 0, core.Errorf(core.BadRequest, "ticket number is %q, expected a positive whole number", text)
	}
	return number, nil
}

func writeResult(writer http.ResponseWriter, body any, err error) {
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	answer.WriteJSON(writer, http.StatusOK, body)
}
