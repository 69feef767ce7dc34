// Tests of entries in the store that another writer has left.
#include "base64_text.h"
#include "platform/dialect_func.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using discovery::ItemKind;
using tests::encodeBase64;

namespace {

std::string serverEntry(const std::string &Field, const std::string &Value) {
  std::string Entry = R"({"service":"s0","zone":"a","state":"ready")";
  for (const auto &[Name, Default] :
       {std::pair("address", "\"10.0.0.1:80\""), std::pair("slots", "3"),
        std::pair("cold-remaining-ms", "0"), std::pair("born", "1")}) {
    Entry += ",\"" + std::string(Name) +
             "\":" + (Field == Name ? Value : std::string(Default));
  }
  return Entry + "}";
}

std::string nested(size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

// Guards against an entry of another writer that ends the instances that read
// it, or that names a server which cannot exist.
TEST_CASE("an odd entry names no server", "[platform]") {
  auto Store = platform::makeStoreDialect();
  auto Decode = [&Store](const std::string &Value) {
    return Store.DecodeServer({ItemKind::Server, "i-1", Value, {1, 1}});
  };
  REQUIRE(Decode(serverEntry("", "")));
  for (const char *Address :
       {"\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:0\"",
        "\"10.0.0.1:99999999999999999999\"", "\"10.0.0.1\"", "\"host:80\"",
        "\"10.0.0.1:80 \"", "80", "null"}) {
    INFO(Address);
    CHECK_FALSE(Decode(serverEntry("address", Address)));
  }
  for (const char *Slots : {"1e400", "-3", "4294967296", "1e30", "3.5",
                            "123456789012345678901234567890"}) {
    INFO(Slots);
    CHECK_FALSE(Decode(serverEntry("slots", Slots)));
  }
  CHECK_FALSE(Decode(serverEntry("born", "1e400")));
  CHECK_FALSE(Decode(serverEntry("born", "-1")));
  for (size_t Depth : {100, 100'000, 2'000'000}) {
    CHECK_FALSE(Decode(nested(Depth)));
    CHECK_FALSE(Decode(serverEntry("slots", nested(Depth))));
  }
}

// Guards against an id that adds header fields to the requests to its address,
// or that the HTTP library cannot hold in one, which would end the process.
TEST_CASE("an entry whose id is no header value names no server",
          "[platform]") {
  auto Store = platform::makeStoreDialect();
  for (const std::string &Id :
       {std::string("i-1\r\nX-Other: 1"), std::string("i\n1"), std::string(),
        std::string("i\0001", 3), std::string(1'025, 'i'),
        std::string(70'000, 'i')}) {
    CHECK_FALSE(Store.DecodeServer(
        {ItemKind::Server, Id, serverEntry("", ""), {1, 1}}));
  }
}

// Guards against one odd entry that makes the whole list unreadable, so that
// the reader stops following it.
TEST_CASE("an odd entry does not hide the others", "[platform]") {
  auto Store = platform::makeStoreDialect();
  std::string Good = R"({"key":"servers/i-9","value":")" +
                     encodeBase64(serverEntry("", "")) + R"(","revision":5})";
  for (const std::string &Odd :
       {R"({"key":"servers/i-1","value":")" + encodeBase64(nested(100'000)) +
            R"(","revision":4})",
        std::string(R"({"key":"servers/i-1","value":"%%%","revision":4})"),
        std::string(R"({"key":"servers/i-1","value":7,"revision":4})"),
        std::string(R"({"key":"servers/i-1","revision":4})"),
        std::string(R"({"key":"servers/i-1","value":null,"revision":4})")}) {
    INFO(Odd.substr(0, 60));
    std::string List = Odd;
    List.append(",").append(Good).append("]}");
    auto Page = Store.DecodePage(R"({"as-of":9,"items":[)" + List);
    REQUIRE(Page);
    CHECK(Page.value().Items.back().Name == "i-9");
    auto Changes = Store.DecodeChanges(R"({"as-of":9,"events":[)" + List);
    REQUIRE(Changes);
    CHECK(Changes.value().Changes.back().ChangedItem.Name == "i-9");
  }
}
