#include "cli/commands_func.h"

#include "config/document_func.h"
#include "config/settings_func.h"

#include <iostream>
#include <map>
#include <vector>

namespace hickorycrank::cli {

namespace {

/**
 * Derives a document's name in the manifest from its text.
 * @param Text TOML text.
 * @param Path Path, used if the text does not tell.
 * @return "<kind>/<name>", or the path.
 */
std::string documentName(const std::string &Text, const std::string &Path) {
  auto Find = [&Text](const std::string &Key) {
    size_t Start =
        Text.rfind(Key + " = \"", 0) == 0 ? 0 : Text.find("\n" + Key + " = \"");
    if (Start == std::string::npos) {
      return std::string();
    }
    size_t Open = Text.find('"', Start);
    size_t Close = Text.find('"', Open + 1);
    return Close == std::string::npos ? std::string()
                                      : Text.substr(Open + 1, Close - Open - 1);
  };
  std::string Kind = Find("kind");
  std::string Name = Find("name");
  return Kind.empty() || Name.empty() ? Path : Kind + "/" + Name;
}

} // namespace

int runCheck(int Count, const char **Arguments) {
  char *Settings = nullptr;
  const poptOption Options[] = {{"settings", 's', POPT_ARG_STRING, &Settings, 0,
                                 "Settings file to check", "FILE"},
                                POPT_TABLEEND};
  ParsedLine Line =
      parseLine(Count, Arguments, Options,
                "[--settings FILE] [DOCUMENT...]  (documents of one revision)");
  if (Line.Exit) {
    return *Line.Exit;
  }
  if (Settings == nullptr && Line.Positional.empty()) {
    std::cerr << "give --settings FILE or documents; see --help\n";
    return ExitCode::Usage;
  }
  std::vector<base::Error> Errors;
  if (Settings != nullptr) {
    auto Text = readFile(Settings);
    if (Text) {
      config::parseSettings(*Text, Settings, Errors);
    } else {
      Errors.push_back({base::ErrorKind::NotFound,
                        std::string(Settings) + ": cannot be read"});
    }
  }
  std::map<std::string, std::string> Documents;
  for (const std::string &Path : Line.Positional) {
    auto Text = readFile(Path);
    if (Text) {
      Documents[documentName(*Text, Path)] = *Text;
    } else {
      Errors.push_back({base::ErrorKind::NotFound, Path + ": cannot be read"});
    }
  }
  if (!Documents.empty()) {
    config::buildConfiguration(
        config::assembleTexts(base::Revision(1), Documents), Errors);
  }
  for (const base::Error &Entry : Errors) {
    std::cerr << toString(Entry.Kind) << ": " << Entry.Message << '\n';
  }
  if (!Errors.empty()) {
    return ExitCode::BadInput;
  }
  std::cout << "valid\n";
  return ExitCode::Success;
}

} // namespace hickorycrank::cli
