// Whether a request may have run, the one question a caller's retry depends on.
#pragma once

#include <string_view>

namespace MangoCourse {

// NotRun needs positive evidence: nothing was written to a socket, or the executor refused before it started.
// Anything after the first byte left for an executor is MayHaveRun until a whole answer makes it Ran.
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

// Returns true where a second attempt cannot exceed the runs allowed: nothing ran yet, or the work is idempotent.
constexpr bool isRetrySafe(Verdict verdict, bool idempotent)
{
    return verdict == Verdict::NotRun || (idempotent && verdict == Verdict::MayHaveRun);
}

}
