#include "Batcher/ItemCall.h"

#include "Completions/CompletionWriter.h"

namespace turmericpass {

std::string answerBody(const ItemCall &Call, const Finish &Ending,
                       std::int64_t CreatedSeconds) {
  if (Call.Request.Kind == ServiceKind::Plain || Ending.Code != FinishCode::Ok)
    return Ending.Body;
  const CompletionWriter Writer({Ending.RequestId, Call.Request.Model,
                                 Call.Request.Chat, CreatedSeconds,
                                 Call.Request.Work.PromptTokens});
  return Writer.formatAnswer(Call.Text, Ending.Reason, Ending.TotalTokens);
}

} // namespace turmericpass
