#ifndef TURMERICPASS_SERVING_SERVERANSWER_H
#define TURMERICPASS_SERVING_SERVERANSWER_H

#include <string_view>

namespace turmericpass {

struct BackendProtocol;
struct RawHead;

/// What the head of an answer says about the request that it answers.
enum class AnswerKind {
  /// The server did not run the request.
  Refused,
  /// The server has begun or completed the request.
  Succeeded,
  /// The server may have run the request, and failed it.
  Failed,
  /// The same, but the status would tell the caller that the request did not
  /// run, which the server has not stated.
  UnprovenRefusal,
  /// No proper server gives this answer to the request, which may have run.
  Broken,
};

struct ServerAnswer {
  AnswerKind Kind = AnswerKind::Broken;
  /// Why the answer is broken; empty for other kinds.
  std::string_view Defect;
};

/// Classifies an answer to the request \p RequestId, which is empty if the
/// request had no id. These rules for answers of servers are in force for
/// callers' requests and for items; their syntax is that of AnswerHead.
ServerAnswer classifyAnswer(const RawHead &Head, std::string_view RequestId,
                            const BackendProtocol &Protocol);

} // namespace turmericpass

#endif
