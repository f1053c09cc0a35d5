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

const defaultRetryAfterMS = 1000

// ProblemFromError returns the problem document for an error of a Service. Other
// errors become CodeInternal, and their text is omitted.
func ProblemFromError(err error) problem.Problem {
	for _, convert := range []func(error) *problem.Problem{
		inputProblem,
		conflictProblem,
		configurationProblem,
		backingProblem,
	} {
		if p := convert(err); p != nil {
			return *p
		}
	}
	return *problem.New(http.StatusInternalServerError, CodeInternal, "the entry failed, see its log")
}

func inputProblem(err error) *problem.Problem {
	var (
		invalidIntent   *intent.IntentError
		invalidDocument *fleet.DocumentError
		noMatch         *intent.NoMatchError
		planSize        *intent.PlanSizeError
		docSize         *fleet.DocumentSizeError
	)
	switch {
	case errors.As(err, &invalidIntent):
		return invalidFieldProblem(err, invalidIntent.Field, invalidIntent.Detail)
	case errors.As(err, &invalidDocument):
		return invalidFieldProblem(err, invalidDocument.Field, invalidDocument.Detail)
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

func invalidFieldProblem(err error, field, detail string) *problem.Problem {
	p := problem.New(http.StatusUnprocessableEntity, CodeInvalid, err.Error())
	p.Fields = []problem.Field{{Name: field, Detail: detail}}
	return p
}

func conflictProblem(err error) *problem.Problem {
	var (
		stale    *intent.StalePlanError
		conflict *configuration.GenerationConflictError
		capacity *intent.CapacityError
	)
	switch {
	case errors.As(err, &stale):
		p := problem.New(http.StatusConflict, CodePlanStale, stale.Error())
		p.Plan, p.Generation = stale.WinningPlan, uint64(stale.CurrentGeneration)
		return p
	case errors.As(err, &conflict):
		p := problem.New(http.StatusConflict, CodeConflict, conflict.Error())
		p.Plan, p.Generation = conflict.WinningPlan, uint64(conflict.CurrentGeneration)
		return p
	case errors.As(err, &capacity):
		return problem.New(http.StatusConflict, CodeCapacity, capacity.Error())
	}
	return nil
}

func configurationProblem(err error) *problem.Problem {
	var (
		commitUnknown *configuration.CommitUnknownError
		contention    *configuration.ContentionError
		behind        *configuration.BehindPeersError
	)
	switch {
	case errors.As(err, &commitUnknown):
		return retryableProblem(CodeCommitUnknown, commitUnknown.Error()+"; confirming again is safe")
	case errors.As(err, &contention):
		return retryableProblem(CodeBusy, contention.Error())
	case errors.As(err, &behind):
		return retryableProblem(CodeBusy, behind.Error())
	}
	return nil
}

func backingProblem(err error) *problem.Problem {
	var (
		unavailable    *backing.UnavailableError
		unknownOutcome *backing.UnknownOutcomeError
		rateLimited    *backing.RateLimitedError
	)
	switch {
	case errors.As(err, &unavailable), errors.As(err, &unknownOutcome):
		return retryableProblem(CodeStoreUnavailable, "a service of the platform does not answer")
	case errors.As(err, &rateLimited):
		p := retryableProblem(CodeBusy, rateLimited.Error())
		p.RetryAfterMS = max(rateLimited.RetryAfterMS, defaultRetryAfterMS)
		return p
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return problem.New(http.StatusGatewayTimeout, CodeTimeout, "the request took too long")
	}
	return nil
}

func retryableProblem(code, detail string) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, code, detail)
	p.RetryAfterMS = defaultRetryAfterMS
	return p
}
