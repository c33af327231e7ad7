#ifndef TURMERICPASS_SERVING_CALLRECORD_H
#define TURMERICPASS_SERVING_CALLRECORD_H

#include "Serving/OnlineCall.h"

#include <string_view>

namespace turmericpass {

class Logger;
class Metrics;

/// Records the end of a call in the log and the metrics. \p Status is the
/// status of the answer, or 0 if the caller got none.
void recordEndOfCall(const OnlineCall &Call, int Status,
                     std::string_view Outcome, Instant Now, Logger &Log,
                     Metrics &Stats);

} // namespace turmericpass

#endif
