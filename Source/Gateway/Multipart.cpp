#include "Gateway/Multipart.h"

#include <string_view>
#include <strings.h>

namespace turmericpass {

namespace {

/// Browsers and client libraries send two or three.
constexpr std::size_t MaxFields = 32;
/// RFC 2046 allows 70 characters.
constexpr std::size_t MaxBoundary = 70;

tl::unexpected<Error> broken(const std::string &What) {
  return failure(ErrorCode::Malformed,
                 "The body is no valid multipart/form-data: " + What + ".");
}

/// Returns the value of parameter \p Name of a header such as
/// `form-data; name="file"`, quoted or not.
std::string parameterOf(std::string_view Header, std::string_view Name) {
  std::size_t At = 0;
  while ((At = Header.find(';', At)) != std::string_view::npos) {
    At = Header.find_first_not_of("; \t", At);
    if (At == std::string_view::npos)
      break;
    const std::string_view Rest = Header.substr(At);
    if (Rest.size() <= Name.size() || Rest[Name.size()] != '=' ||
        strncasecmp(Rest.data(), Name.data(), Name.size()) != 0)
      continue;
    const std::string_view Value = Rest.substr(Name.size() + 1);
    if (Value.starts_with('"'))
      return std::string(Value.substr(1, Value.find('"', 1) - 1));
    return std::string(Value.substr(0, Value.find_first_of("; \t")));
  }
  return {};
}

std::string headerValue(std::string_view Head, std::string_view Name) {
  while (!Head.empty()) {
    const std::size_t End = Head.find("\r\n");
    const std::string_view Line = Head.substr(0, End);
    if (Line.size() > Name.size() && Line[Name.size()] == ':' &&
        strncasecmp(Line.data(), Name.data(), Name.size()) == 0)
      return std::string(Line.substr(Name.size() + 1));
    if (End == std::string_view::npos)
      break;
    Head.remove_prefix(End + 2);
  }
  return {};
}

/// Reads one part, which is a head, an empty line and the bytes.
Result<FormField> readPart(std::string_view Part) {
  const std::size_t Blank = Part.find("\r\n\r\n");
  if (Blank == std::string_view::npos)
    return broken("a part has no end of its head");
  const std::string Disposition =
      headerValue(Part.substr(0, Blank), "Content-Disposition");
  FormField Field;
  Field.Name = parameterOf(Disposition, "name");
  if (Field.Name.empty())
    return broken("a part has no name");
  Field.FileName = parameterOf(Disposition, "filename");
  Field.Bytes = std::string(Part.substr(Blank + 4));
  return Field;
}

} // namespace

Result<std::vector<FormField>> parseForm(const std::string &ContentType,
                                         const std::string &Body) {
  const std::string Boundary = parameterOf(ContentType, "boundary");
  if (Boundary.empty() || Boundary.size() > MaxBoundary)
    return broken("the Content-Type header has no usable boundary");
  const std::string Mark = "\r\n--" + Boundary;
  std::string_view Rest = Body;
  if (!Rest.starts_with(std::string_view(Mark).substr(2)))
    return broken("it does not begin with the boundary");
  Rest.remove_prefix(Mark.size() - 2);
  std::vector<FormField> Fields;
  while (!Rest.starts_with("--")) {
    if (!Rest.starts_with("\r\n") || Fields.size() == MaxFields)
      return broken("a boundary is not followed by a part");
    Rest.remove_prefix(2);
    const std::size_t End = Rest.find(Mark);
    if (End == std::string_view::npos)
      return broken("the last boundary is missing");
    Result<FormField> Field = readPart(Rest.substr(0, End));
    if (!Field)
      return tl::make_unexpected(Field.error());
    Fields.push_back(std::move(*Field));
    Rest.remove_prefix(End + Mark.size());
  }
  return Fields;
}

} // namespace turmericpass
