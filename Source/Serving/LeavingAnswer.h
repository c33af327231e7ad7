#ifndef TURMERICPASS_SERVING_LEAVINGANSWER_H
#define TURMERICPASS_SERVING_LEAVINGANSWER_H

#include <string>

namespace turmericpass {

struct BackendProtocol;
struct RawHead;
class Logger;
class ServerDirectory;

/// Stops the use of \p Server if the head of one of its answers states that it
/// leaves. The list of servers may tell that later, or not at all.
void recordIfLeaving(const std::string &Server, const RawHead &Head,
                     const BackendProtocol &Protocol, ServerDirectory &Servers,
                     Logger &Log);

} // namespace turmericpass

#endif
