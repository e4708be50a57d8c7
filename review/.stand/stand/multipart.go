package main

import (
	"bytes"
	"fmt"
	"mime/multipart"
	"time"

	"golang.org/x/sync/errgroup"
)

// playMultipart checks UNASKED: clients upload forms with a length. With the disruption their content type says so, and
// otherwise the same bytes have a neutral one.
func playMultipart(r *rig) (verdict, error) {
	const uploads = 60
	for i := range 3 {
		if _, err := r.startReplica(fmt.Sprintf("i-%02d", i), "survey-intake", "east", 10*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	r.configure(1, []routeSpec{{
		name:     "surveys",
		prefix:   "/surveys/",
		kind:     "non_idempotent",
		service:  "survey-intake",
		timeout:  2 * time.Second,
		attempts: 2,
	}}, map[string]float64{"survey-intake": 0})
	hosts, err := r.startHosts("east", "frontend-east-1", "frontend-east-2")
	if err != nil {
		return verdict{}, err
	}
	sent := make(map[string]string)
	refused := 0
	var answers [uploads]answer
	var clients errgroup.Group
	for n := range uploads {
		body, contentType, err := surveyForm(n)
		if err != nil {
			return verdict{}, err
		}
		if !r.trouble {
			contentType = "application/octet-stream"
		}
		id := r.newID()
		sent[id] = body
		r.record.writef("sent      %s POST /surveys/%d, %s, %d bytes", id, n, contentType, len(body))
		message := request("POST", hostName, fmt.Sprintf("/surveys/%d", n), id, 2*time.Second, "Content-Type: "+contentType+"\r\n", body)
		clients.Go(func() error {
			a, err := roundTrip(hosts[n%len(hosts)].frontend, message, 2*time.Second)
			if err != nil {
				r.record.writef("answered  %s: %v", id, err)
				return nil
			}
			r.record.writef("answered  %s: %v", id, a)
			answers[n] = a
			return nil
		})
		time.Sleep(20 * time.Millisecond)
	}
	_ = clients.Wait()
	for _, a := range answers {
		if a.status == 400 {
			refused++
		}
	}
	changed := 0
	for _, x := range r.allRuns() {
		if x.body == sent[x.id] {
			continue
		}
		changed++
		r.record.writef("UNASKED   %s ran with another body than was sent", x.id)
		if changed == 1 {
			r.record.writef("sent: %q", sent[x.id])
			r.record.writef("ran:  %q", x.body)
		}
	}
	return verdict{
		broken: changed > 0,
		text: fmt.Sprintf("%d of %d uploads ran, %d of them with another body than was sent; %d were answered 400",
			len(r.allRuns()), uploads, changed, refused),
	}, nil
}

// surveyForm returns a form as the usual client libraries write it: a file and the text fields that describe it.
func surveyForm(n int) (body, contentType string, err error) {
	var out bytes.Buffer
	form := multipart.NewWriter(&out)
	file, err := form.CreateFormFile("survey", fmt.Sprintf("cerro-%d.csv", n))
	if err != nil {
		return "", "", err
	}
	if _, err := fmt.Fprintf(file, "point,height\r\nA%d,104.2\r\nB%d,98.7\r\n", n, n); err != nil {
		return "", "", err
	}
	for _, field := range [][2]string{{"sheet", "F-12"}, {"unit", "metres"}, {"surveyor", fmt.Sprint(n)}} {
		if err := form.WriteField(field[0], field[1]); err != nil {
			return "", "", err
		}
	}
	err = form.Close()
	return out.String(), form.FormDataContentType(), err
}
