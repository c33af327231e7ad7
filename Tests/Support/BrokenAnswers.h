#ifndef TURMERICPASS_TESTS_SUPPORT_BROKENANSWERS_H
#define TURMERICPASS_TESTS_SUPPORT_BROKENANSWERS_H

#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// The bytes of an answer that no proper server sends.
struct BrokenAnswer {
  std::string Name;
  std::string Bytes;
};

/// Returns answers whose status line is not valid. Their heads contain \p
/// Lines, each with its line break.
inline std::vector<BrokenAnswer>
makeAnswersWithBrokenStatus(const std::string &Lines = {}) {
  const std::string Rest = "\r\n" + Lines + "Content-Length: 6\r\n\r\nbroken";
  std::vector<BrokenAnswer> Answers;
  for (const std::string Line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2e2 OK",
        "HTTP/1.1 -200 OK", "HTTP/1.1 OK", "HTTP/1.1 101 Switching Protocols",
        "HTTP/2.0 200 OK", "\r\nHTTP/1.1 200 OK"})
    Answers.push_back({Line, Line + Rest});
  Answers.push_back(
      {"000 without a length", "HTTP/1.1 000 \r\n" + Lines + "\r\n"});
  Answers.push_back({"000 before an answer",
                     "HTTP/1.1 000 OK" + Rest + "HTTP/1.1 200 OK" + Rest});
  return Answers;
}

/// Returns answers of which a header is not valid. Their heads contain
/// \p Lines, each with its line break.
inline std::vector<BrokenAnswer>
makeAnswersWithBrokenHeaders(const std::string &Lines = {}) {
  const std::string Head = "HTTP/1.1 200 OK\r\n" + Lines;
  const std::string Rest = "\r\nContent-Length: 6\r\n\r\nbroken";
  std::vector<BrokenAnswer> Answers;
  for (const std::string &Line : std::vector<std::string>{
           "X-Note : a", "X Note: a", " X-Note: a", "\tX-Note: a",
           "X-Note\t: a", "X\x01Note: a", "X-Note\x7f: a", "X-N\rote: a",
           std::string("X\0Note: a", 9), "X\x1bNote: a", ": a", "X-Note",
           "X-Note: a\x01", "X-Note: a\r\n folded", "X-Note:\r\n folded",
           "X-Note: a\r\n\tContent-Length: 3"})
    Answers.push_back({Line, Head + Line + Rest});
  // The header delimits another body than the parser would find.
  for (const std::string Line :
       {"Content-Length : 3", "Content -Length: 3", " Content-Length: 3",
        "Content-Length\t: 3", "Content-Length:", "Content-Length: 3, 3",
        "Content-Length: 3\r\nContent-Length: 6", "Content-Length: +3",
        "Content-Length: -3", "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding:", "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked"})
    Answers.push_back({Line, Head + Line + "\r\n\r\n3\r\nbro\r\n0\r\n\r\n"});
  Answers.push_back({"interim answer", "HTTP/1.1 103 Early\r\nX Note: a\r\n"
                                       "\r\n" +
                                           Head + Rest.substr(2)});
  // Answers with these statuses have no body.
  for (const std::string Status : {"100", "102", "103", "199", "204"})
    for (const std::string Body :
         {"Transfer-Encoding: chunked\r\n\r\n3\r\nbro\r\n0\r\n\r\n",
          "Content-Length: 3\r\n\r\nbro",
          "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
      Answers.push_back(
          {"body of a " + Status,
           "HTTP/1.1 " + Status + " Odd\r\n" + Body + Head + Rest.substr(2)});
  return Answers;
}

/// Returns all answers whose heads are not valid. The heads contain \p Lines,
/// each with its line break.
inline std::vector<BrokenAnswer>
makeAnswersWithBrokenHeads(const std::string &Lines = {}) {
  std::vector<BrokenAnswer> Answers = makeAnswersWithBrokenStatus(Lines);
  for (BrokenAnswer &Answer : makeAnswersWithBrokenHeaders(Lines))
    Answers.push_back(std::move(Answer));
  return Answers;
}

} // namespace turmericpass

#endif
