#ifndef TURMERICPASS_TESTS_SUPPORT_BROKENANSWERS_H
#define TURMERICPASS_TESTS_SUPPORT_BROKENANSWERS_H

#include <string>
#include <vector>

namespace turmericpass {

/// The bytes of an answer that no proper server sends.
struct BrokenAnswer {
  std::string Name;
  std::string Bytes;
};

/// Returns answers whose status line is not valid.
inline std::vector<BrokenAnswer> makeAnswersWithBrokenStatus() {
  const std::string Rest = "\r\nContent-Length: 6\r\n\r\nbroken";
  std::vector<BrokenAnswer> Answers;
  for (const std::string Line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2e2 OK",
        "HTTP/1.1 -200 OK", "HTTP/1.1 OK", "HTTP/1.1 101 Switching Protocols",
        "HTTP/2.0 200 OK", "\r\nHTTP/1.1 200 OK"})
    Answers.push_back({Line, Line + Rest});
  Answers.push_back({"000 without a length", "HTTP/1.1 000 \r\n\r\n"});
  Answers.push_back({"000 before an answer",
                     "HTTP/1.1 000 OK" + Rest + "HTTP/1.1 200 OK" + Rest});
  return Answers;
}

} // namespace turmericpass

#endif
