#include "net/relay_header_func.h"

#include "net/url_func.h"

namespace hickorycrank::net {

namespace {

/** Calls a function for each piece of a text between separators. */
template <typename Function>
void forEachPiece(std::string_view Text, char Separator, Function Call) {
  while (!Text.empty()) {
    size_t End = Text.find(Separator);
    Call(Text.substr(0, End));
    Text = End == std::string_view::npos ? std::string_view()
                                         : Text.substr(End + 1);
  }
}

} // namespace

std::optional<std::string>
encodeTriedServers(const std::vector<forward::TriedServer> &Tried) {
  std::string Text;
  const std::string *Service = nullptr;
  for (const forward::TriedServer &Entry : Tried) {
    if (Service == nullptr || *Service != Entry.Service) {
      Text += Service == nullptr ? "" : ";";
      Text += encodePercent(Entry.Service) + "=";
      Service = &Entry.Service;
    } else {
      Text += ",";
    }
    Text += encodePercent(Entry.Server.Value);
    if (Text.size() > MaxRelayTriedBytes) {
      return std::nullopt;
    }
  }
  return Text;
}

std::vector<forward::TriedServer> decodeTriedServers(std::string_view Text) {
  std::vector<forward::TriedServer> Tried;
  forEachPiece(Text, ';', [&](std::string_view Group) {
    size_t Equals = Group.find('=');
    if (Equals == 0 || Equals == std::string_view::npos) {
      return;
    }
    std::string Service = decodePercent(Group.substr(0, Equals));
    forEachPiece(Group.substr(Equals + 1), ',', [&](std::string_view Id) {
      if (!Id.empty()) {
        Tried.push_back({Service, base::ServerId(decodePercent(Id))});
      }
    });
  });
  return Tried;
}

} // namespace hickorycrank::net
