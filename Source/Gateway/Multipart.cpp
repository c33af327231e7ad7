#include "Gateway/Multipart.h"

#include <string_view>
#include <strings.h>

namespace turmericpass {

namespace {

/// Bounds the memory of a form. Browsers and client libraries send two or three
/// fields.
constexpr std::size_t MaxFields = 32;
/// The limit of RFC 2046, in characters.
constexpr std::size_t MaxBoundaryLength = 70;

tl::unexpected<Error> malformedForm(const std::string &What) {
  return failure(ErrorCode::Malformed,
                 "The body is no valid multipart/form-data: " + What + ".");
}

/// Returns the value of parameter \p Name of a header such as
/// `form-data; name="file"`. The value may be quoted or not.
std::string findParameter(std::string_view Header, std::string_view Name) {
  std::size_t Position = 0;
  while ((Position = Header.find(';', Position)) != std::string_view::npos) {
    Position = Header.find_first_not_of("; \t", Position);
    if (Position == std::string_view::npos)
      break;
    const std::string_view Rest = Header.substr(Position);
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

std::string findPartHeader(std::string_view Head, std::string_view Name) {
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

/// Parses one part, which consists of headers, an empty line and the content.
Result<FormField> readPart(std::string_view Part) {
  const std::size_t HeadEnd = Part.find("\r\n\r\n");
  if (HeadEnd == std::string_view::npos)
    return malformedForm("a part has no end of its head");
  const std::string Disposition =
      findPartHeader(Part.substr(0, HeadEnd), "Content-Disposition");
  FormField Field;
  Field.Name = findParameter(Disposition, "name");
  if (Field.Name.empty())
    return malformedForm("a part has no name");
  Field.FileName = findParameter(Disposition, "filename");
  Field.Bytes = std::string(Part.substr(HeadEnd + 4));
  return Field;
}

} // namespace

Result<std::vector<FormField>> parseForm(const std::string &ContentType,
                                         const std::string &Body) {
  const std::string Boundary = findParameter(ContentType, "boundary");
  if (Boundary.empty() || Boundary.size() > MaxBoundaryLength)
    return malformedForm("the Content-Type header has no usable boundary");
  const std::string Delimiter = "\r\n--" + Boundary;
  std::string_view Rest = Body;
  if (!Rest.starts_with(std::string_view(Delimiter).substr(2)))
    return malformedForm("it does not begin with the boundary");
  Rest.remove_prefix(Delimiter.size() - 2);
  std::vector<FormField> Fields;
  while (!Rest.starts_with("--")) {
    if (!Rest.starts_with("\r\n") || Fields.size() == MaxFields)
      return malformedForm("a boundary is not followed by a part");
    Rest.remove_prefix(2);
    const std::size_t End = Rest.find(Delimiter);
    if (End == std::string_view::npos)
      return malformedForm("the last boundary is missing");
    Result<FormField> Field = readPart(Rest.substr(0, End));
    if (!Field)
      return tl::make_unexpected(Field.error());
    Fields.push_back(std::move(*Field));
    Rest.remove_prefix(End + Delimiter.size());
  }
  return Fields;
}

} // namespace turmericpass
