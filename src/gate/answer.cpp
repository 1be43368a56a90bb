// Builds responses to callers.
#include "answer.h"

#include <nlohmann/json.hpp>

namespace MangoCourse {

CallerResponse failureResponse(http::status status, Verdict verdict, std::string_view reason, std::chrono::milliseconds retryAfter)
{
    nlohmann::json json = {{"verdict", toString(verdict)}, {"reason", reason}};
    if (retryAfter.count() > 0) {
        json["retryAfter"] = std::chrono::duration<double>(retryAfter).count();
    }
    CallerResponse answer;
    answer.status = status;
    answer.verdict = verdict;
    answer.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer.retryAfter = retryAfter;
    return answer;
}

HttpResponse toHttpResponse(const CallerResponse &answer, const std::string &requestId, bool keepAlive)
{
    HttpResponse response(answer.status, 11);
    response.set(http::field::content_type, answer.contentType);
    if (!requestId.empty()) {
        response.set("X-Request-Id", requestId);
    }
    if (answer.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter);
        response.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    response.body() = answer.body;
    response.keep_alive(keepAlive && !answer.closeConnection);
    response.prepare_payload();
    return response;
}

}
