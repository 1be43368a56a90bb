// Whether a request may have run, which decides whether it may be retried.
#pragma once

#include <string_view>

namespace MangoCourse {

// NotRun requires proof: nothing was written to a socket, or the executor refused the request before starting it. Once the first byte has been
// sent to an executor, the verdict is MayHaveRun until a complete response makes it Ran.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns the wire spelling: "not-run", "may-have-run" or "ran".
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

// Returns true when another attempt is safe: the request has certainly not run, or it is idempotent and may have run.
constexpr bool isRetrySafe(Verdict verdict, bool isIdempotent)
{
    return verdict == Verdict::NotRun || (isIdempotent && verdict == Verdict::MayHaveRun);
}

}
