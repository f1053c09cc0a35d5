package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/problem"
)

const retryAfterMS = 1000

// ProblemOf returns the problem document for an error of a Service. Errors
// that it does not know become CodeInternal without their text.
func ProblemOf(err error) problem.Problem {
	for _, convert := range []func(error) *problem.Problem{
		inputProblem,
		conflictProblem,
		configurationProblem,
		platformProblem,
	} {
		if p := convert(err); p != nil {
			return *p
		}
	}
	return *problem.New(http.StatusInternalServerError, CodeInternal, "the entry failed, see its log")
}

func inputProblem(err error) *problem.Problem {
	var (
		in       *intent.IntentError
		document *fleet.DocumentError
		noMatch  *intent.NoMatchError
		planSize *intent.PlanSizeError
		docSize  *fleet.DocumentSizeError
	)
	switch {
	case errors.As(err, &in):
		return invalidField(err, in.Field, in.Detail)
	case errors.As(err, &document):
		return invalidField(err, document.Field, document.Detail)
	case errors.As(err, &noMatch):
		return problem.New(http.StatusUnprocessableEntity, CodeNoMatch, noMatch.Error())
	case errors.As(err, &planSize):
		return problem.New(http.StatusUnprocessableEntity, CodePlanTooLarge, planSize.Error())
	case errors.As(err, &docSize):
		return problem.New(http.StatusUnprocessableEntity, CodePlanTooLarge, docSize.Error())
	case errors.Is(err, intent.ErrManifestMissing), errors.Is(err, backing.ErrNotFound):
		return problem.New(http.StatusUnprocessableEntity, CodeModelUnknown, "the weight store does not know this version of the model")
	case errors.Is(err, ErrPlanNotFound), errors.Is(err, backing.ErrKeyNotFound):
		return problem.New(http.StatusNotFound, CodePlanUnknown, ErrPlanNotFound.Error())
	}
	return nil
}

func invalidField(err error, field, detail string) *problem.Problem {
	p := problem.New(http.StatusUnprocessableEntity, CodeInvalid, err.Error())
	p.Fields = []problem.Field{{Name: field, Detail: detail}}
	return p
}

func conflictProblem(err error) *problem.Problem {
	var (
		stale    *intent.StalePlanError
		lost     *configuration.GenerationConflictError
		capacity *intent.CapacityError
	)
	switch {
	case errors.As(err, &stale):
		p := problem.New(http.StatusConflict, CodePlanStale, stale.Error())
		p.Plan, p.Generation = stale.WinningPlan, uint64(stale.CurrentGeneration)
		return p
	case errors.As(err, &lost):
		p := problem.New(http.StatusConflict, CodeConflict, lost.Error())
		p.Plan, p.Generation = lost.WinningPlan, uint64(lost.CurrentGeneration)
		return p
	case errors.As(err, &capacity):
		return problem.New(http.StatusConflict, CodeCapacity, capacity.Error())
	}
	return nil
}

func configurationProblem(err error) *problem.Problem {
	var (
		unknown    *configuration.CommitUnknownError
		contention *configuration.ContentionError
		behind     *configuration.BehindPeersError
	)
	switch {
	case errors.As(err, &unknown):
		return retryLater(CodeCommitUnknown, unknown.Error()+"; confirming again is safe")
	case errors.As(err, &contention):
		return retryLater(CodeBusy, contention.Error())
	case errors.As(err, &behind):
		return retryLater(CodeBusy, behind.Error())
	}
	return nil
}

func platformProblem(err error) *problem.Problem {
	var (
		unavailable *backing.UnavailableError
		unknown     *backing.UnknownOutcomeError
		limited     *backing.LimitedError
	)
	switch {
	case errors.As(err, &unavailable), errors.As(err, &unknown):
		return retryLater(CodeStoreUnavailable, "a service of the platform does not answer")
	case errors.As(err, &limited):
		p := retryLater(CodeBusy, limited.Error())
		p.RetryAfterMS = max(limited.RetryAfterMS, retryAfterMS)
		return p
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return problem.New(http.StatusGatewayTimeout, CodeTimeout, "the request took too long")
	}
	return nil
}

func retryLater(code, detail string) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, code, detail)
	p.RetryAfterMS = retryAfterMS
	return p
}
