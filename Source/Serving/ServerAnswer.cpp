#include "Serving/ServerAnswer.h"

#include "Serving/BackendProtocol.h"

namespace turmericpass {

namespace {

/// Which request the head of an answer names.
enum class NamedRequest { None, Expected, Other };

NamedRequest findNamedRequest(const RawHead &Head, std::string_view RequestId,
                              const BackendProtocol &Protocol) {
  if (RequestId.empty())
    return NamedRequest::Expected;
  NamedRequest Named = NamedRequest::None;
  for (const auto &[Name, Value] : Head.Headers)
    if (equalsIgnoringCase(Name, Protocol.RequestId)) {
      if (Value != RequestId)
        return NamedRequest::Other;
      Named = NamedRequest::Expected;
    }
  return Named;
}

/// Returns why \p Head is no success of a server, or an empty view.
std::string_view findDefectOfSuccess(const RawHead &Head,
                                     const BackendProtocol &Protocol) {
  if (!Protocol.Stamp.empty() && Head.header(Protocol.Stamp).empty())
    return "the answer has no stamp of its server";
  const std::string_view Coding = Head.header("Content-Encoding");
  if (!Protocol.AllowsContentCodings && !Coding.empty() &&
      !equalsIgnoringCase(Coding, "identity"))
    return "the body of the answer is encoded";
  return {};
}

} // namespace

ServerAnswer classifyAnswer(const RawHead &Head, std::string_view RequestId,
                            const BackendProtocol &Protocol) {
  const bool IsSuccess = Head.Status >= 200 && Head.Status < 300;
  const bool IsRefusal = Protocol.indicatesNotRun(Head);
  if (IsSuccess && IsRefusal)
    return {AnswerKind::Broken, "the answer is a success and a refusal"};
  switch (findNamedRequest(Head, RequestId, Protocol)) {
  case NamedRequest::Other:
    return {AnswerKind::Broken, "the answer names another request"};
  case NamedRequest::None:
    // A server may refuse a request before it has read its id. The connection
    // rejects such an answer if it may belong to an earlier request.
    if (!IsRefusal)
      return {AnswerKind::Broken, "the answer does not name its request"};
    break;
  case NamedRequest::Expected:
    break;
  }
  if (IsRefusal)
    return {AnswerKind::Refused, {}};
  if (!IsSuccess)
    return {Protocol.NotRunStatuses.contains(Head.Status)
                ? AnswerKind::UnprovenRefusal
                : AnswerKind::Failed,
            {}};
  const std::string_view Defect = findDefectOfSuccess(Head, Protocol);
  return {Defect.empty() ? AnswerKind::Succeeded : AnswerKind::Broken, Defect};
}

} // namespace turmericpass
