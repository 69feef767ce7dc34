#include "config/toml_func.h"

#include <algorithm>
#include <sstream>

namespace hickorycrank::config {

namespace {

constexpr std::string_view Blanks = " \t";
constexpr std::string_view LineSpace = " \t\r\n";
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/**
 * Tells whether a key may begin with a character.
 * @param Letter The character.
 * @return Whether it begins a bare or quoted key.
 */
bool beginsKey(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= 'A' && Letter <= 'Z') ||
         (Letter >= '0' && Letter <= '9') || Letter == '_' || Letter == '-' ||
         Letter == '"' || Letter == '\'';
}

/**
 * Skips characters.
 * @param Text The text.
 * @param At Where to begin.
 * @param Skipped Characters to skip.
 * @return Position of the first other character, or the end.
 */
size_t skip(std::string_view Text, size_t At, std::string_view Skipped) {
  return std::min(Text.find_first_not_of(Skipped, At), Text.size());
}

/**
 * Skips a string of any of TOML's four kinds.
 * @param Text The text.
 * @param At Position of the opening quote.
 * @return Position after the string, or the end if it is not closed.
 */
size_t skipString(std::string_view Text, size_t At) {
  char Quote = Text[At];
  const std::string Triple(3, Quote);
  bool IsMultiLine = Text.substr(At, 3) == Triple;
  size_t Width = IsMultiLine ? 3 : 1;
  At += Width;
  while (At < Text.size()) {
    if (Quote == '"' && Text[At] == '\\') {
      At += 2;
    } else if (!IsMultiLine && Text[At] == '\n') {
      return At;
    } else if (Text[At] == Quote &&
               (!IsMultiLine || Text.substr(At, 3) == Triple)) {
      At += Width;
      // Up to two quotes may stand before the closing ones.
      size_t End = skip(Text, At, Triple);
      return IsMultiLine ? std::min(At + 2, End) : At;
    } else {
      ++At;
    }
  }
  return Text.size();
}

/**
 * Skips a key with its value, or a table header, to the end of its last line.
 * @param Text The text.
 * @param At Where it begins.
 * @return Position of the line break, or the end.
 */
size_t skipStatement(std::string_view Text, size_t At) {
  int Depth = 0; // Of arrays and inline tables, which may span lines.
  while (At < Text.size() && (Text[At] != '\n' || Depth > 0)) {
    switch (Text[At]) {
    case '"':
    case '\'':
      At = skipString(Text, At);
      continue;
    case '#':
      At = std::min(Text.find('\n', At), Text.size());
      continue;
    case '[':
    case '{':
      ++Depth;
      break;
    case ']':
    case '}':
      --Depth;
      break;
    default:
      break;
    }
    ++At;
  }
  return At;
}

} // namespace

std::optional<size_t> findHeaderWithoutKey(std::string_view Text) {
  size_t At = Text.substr(0, 3) == ByteOrderMark ? ByteOrderMark.size() : 0;
  for (At = skip(Text, At, LineSpace); At < Text.size();
       At = skip(Text, skipStatement(Text, At), LineSpace)) {
    if (Text[At] != '[') {
      continue;
    }
    size_t Key = skip(Text, At + 1, Blanks);
    if (Key == At + 1 && Key < Text.size() && Text[Key] == '[') {
      Key = skip(Text, Key + 1, Blanks);
    }
    if (Key == Text.size() || !beginsKey(Text[Key])) {
      auto Before = Text.substr(0, At);
      return 1 + std::count(Before.begin(), Before.end(), '\n');
    }
  }
  return std::nullopt;
}

toml::table parseToml(std::string_view Text, const std::string &File,
                      std::vector<base::Error> &Errors) {
  std::ostringstream Message;
  if (auto Line = findHeaderWithoutKey(Text)) {
    Message << File << ':' << *Line
            << ": not valid TOML: a table header must begin with a key; "
               "correct the syntax";
    Errors.push_back({base::ErrorKind::BadSyntax, Message.str()});
    return {};
  }
  try {
    return toml::parse(Text, File);
  } catch (const toml::parse_error &Failure) {
    Message << File << ':' << Failure.source().begin.line
            << ": not valid TOML: " << Failure.description()
            << "; correct the syntax";
    Errors.push_back({base::ErrorKind::BadSyntax, Message.str()});
  }
  return {};
}

} // namespace hickorycrank::config
