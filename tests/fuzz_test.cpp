// Readers of untrusted or operator-written text, with random and mutated
// input. Each property runs on the seed and budget set in main.cpp.
#include "config/binding_func.h"
#include "config/document_func.h"
#include "config/settings_func.h"
#include "config/toml_func.h"
#include "net/backend_codec_func.h"
#include "net/url_func.h"
#include "standin/deployment_base.h"

#include "base/digest_func.h"
#include "hostile_text.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <iterator>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <tuple>

using namespace hickorycrank;
using namespace hickorycrank::tests;

namespace {

const std::string ValidSettings = R"(instance = "entry-0"
failure_domain = "domain-1"
listen = "127.0.0.1:8080"
admin = "[::1]:8081"
peer = "127.0.0.1:8082"
platform = ["127.0.0.1:9000", "127.0.0.1:9001"]
peer_key = "0123456789abcdef"
threads = 2
)";

const std::string ValidReply =
    R"({"attempt":"000000000000000a000000000000000b","version":3,)"
    R"("status":"ok","ran":"ran","records":5,"records_total":7,)"
    R"("rows":[{"item":"a","stock":1}],"retry_after_ms":20,)"
    R"("report":{"server":"s","incarnation":2,"leaving":true,"load":0.5,)"
    R"("slots":3,"versions":[{"version":3,"layout":["x","y"],"holds":[0,1]}]}})";

const std::string ValidReport =
    R"({"server":"s","incarnation":2,"leaving":false,"load":0.5,"slots":3,)"
    R"("versions":[{"version":3,"layout":["x","y"],"holds":[1]}]})";

const std::string ValidList =
    R"({"version":4,"instances":[{"id":"s","kind":"backend",)"
    R"("service":"stock","address":"127.0.0.1:1","failure_domain":"d",)"
    R"("incarnation":2,"state":"leaving"}]})";

/** Documents of the examples, by name. */
std::map<std::string, std::string> exampleDocuments() {
  return standin::readDocuments(std::string(HICKORYCRANK_SOURCE_DIR) +
                                "/examples/consortium");
}

/** Configuration of the examples. */
std::shared_ptr<const config::Configuration> exampleConfiguration() {
  std::vector<base::Error> Errors;
  auto Built = config::buildConfiguration(
      config::assembleTexts(base::Revision(1), exampleDocuments()), Errors);
  REQUIRE(Errors.empty());
  return Built;
}

/** Whether a message was read, or refused with the kind for messages. */
template <typename T> bool readOrRefused(const base::Result<T> &Decoded) {
  return Decoded.has_value() ||
         Decoded.error().Kind == base::ErrorKind::Protocol;
}

/** Whether each error says something to its reader. */
bool allExplained(const std::vector<base::Error> &Errors) {
  return std::none_of(
      Errors.begin(), Errors.end(),
      [](const base::Error &Entry) { return Entry.Message.empty(); });
}

} // namespace

// Guards against a process that starts with settings it could not read, or
// crashes on them.
TEST_CASE("settings are read whole or refused with errors", "[fuzz]") {
  std::vector<base::Error> None;
  config::Settings Valid = config::parseSettings(ValidSettings, "f", None);
  REQUIRE(None.empty());
  CHECK(config::toString(Valid.Admin) == "[::1]:8081");
  CHECK(Valid.Threads == 2);
  CHECK(rc::check("settings", [] {
    std::string Text = *hostile(ValidSettings);
    std::vector<base::Error> Errors;
    config::Settings Parsed = config::parseSettings(Text, "f", Errors);
    RC_ASSERT(allExplained(Errors));
    if (Errors.empty()) {
      RC_ASSERT(!Parsed.Platform.empty());
      RC_ASSERT(Parsed.PeerKey.size() >= 16U);
      RC_ASSERT(Parsed.Threads >= 1U);
    }
  }));
  CHECK(rc::check("endpoints", [] {
    if (auto Parsed = config::parseEndpoint(*hostile("[::1]:8081"))) {
      auto Again = config::parseEndpoint(config::toString(*Parsed));
      RC_ASSERT(Again.has_value());
      RC_ASSERT(Again->Address == Parsed->Address);
      RC_ASSERT(Again->Port == Parsed->Port);
    }
  }));
}

// Guards against a process that ends at an assertion of toml++ (parse_key) in a
// build without NDEBUG, and against a check that refuses valid text. The random
// documents with seed 20261204 hold "[\x03" as organisation/nube-rosa.
TEST_CASE("a table header without a key is a syntax error", "[fuzz]") {
  for (const char *Header : {"[.a]",
                             "[",
                             "[[",
                             "[=",
                             "[ .a]",
                             "[[.a]]",
                             "[[ ]]",
                             "[\n]",
                             "[#",
                             "[{",
                             "[\x03",
                             "[]",
                             "[ [a]]",
                             "\t[.a]",
                             "\xEF\xBB\xBF[.a]",
                             "[a]\n[.b]",
                             "a = \"[\" # [\n[.b]",
                             "a = [\n1,\n]\r\n[.b]",
                             "a = ''''''''\n[.b]",
                             "a = \"\"\"\n\\\"\"\"\"\n[.b]",
                             "a = '\\'\n[.b]"}) {
    INFO(Header);
    std::vector<base::Error> Errors;
    config::parseSettings(Header, "f", Errors);
    REQUIRE(Errors.size() == 1);
    CHECK(Errors[0].Kind == base::ErrorKind::BadSyntax);
    CHECK(Errors[0].Message.find("begin with a key") != std::string::npos);
    CHECK(config::parseManifest(Header).has_error());
  }
  for (const char *Valid :
       {"", "[a]", "[ \"a.b\" ]", "[['a']]", "[-]", "# [.a]", "\"[.\" = 1",
        "a = [\n[ ],\n[\n{b = 1}]]", "a = '''\n[.b]\\'''",
        "a = \"\"\"\n[.b]\n\"\"\"\"\"\n[c]", "a = \"\\\"\" # \"\n[b]"}) {
    INFO(Valid);
    CHECK_FALSE(config::findHeaderWithoutKey(Valid).has_value());
    CHECK_NOTHROW(toml::parse(Valid));
  }
  std::vector<base::Error> Errors;
  config::parseSettings("a = 1\n\n[.b]\n", "f", Errors);
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].Message.rfind("f:3: ", 0) == 0);
  auto Documents = exampleDocuments();
  Documents.at("organisation/nube-rosa") = "[\x03";
  Errors.clear();
  CHECK(config::buildConfiguration(
            config::assembleTexts(base::Revision(1), Documents), Errors) ==
        nullptr);
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].Message.rfind("organisation/nube-rosa:1: ", 0) == 0);
}

// Guards against a configuration that is built although a document of it has
// an error, and against a crash on what an operator published.
TEST_CASE("documents are built whole or refused with errors", "[fuzz]") {
  auto Documents = exampleDocuments();
  REQUIRE(exampleConfiguration()->Templates.size() == 4);
  CHECK(rc::check("documents", [&] {
    auto Changed = Documents;
    auto Target =
        std::next(Changed.begin(),
                  *rc::gen::inRange<int>(0, static_cast<int>(Changed.size())));
    Target->second = *hostile(Target->second);
    std::vector<base::Error> Errors;
    auto Built = config::buildConfiguration(
        config::assembleTexts(base::Revision(1), Changed), Errors);
    RC_ASSERT(allExplained(Errors));
    RC_ASSERT((Built == nullptr) == !Errors.empty());
  }));
}

// Guards against a manifest that is taken although it cannot be read, and
// against names that do not survive writing and reading.
TEST_CASE("manifests round-trip or are refused", "[fuzz]") {
  std::string Valid =
      config::formatManifest(base::Revision(7), exampleDocuments());
  CHECK(rc::check("hostile manifests", [&] {
    std::string Text = *hostile(Valid);
    auto Parsed = config::parseManifest(Text);
    if (Parsed.has_error()) {
      RC_ASSERT(!Parsed.error().Message.empty());
    } else {
      RC_ASSERT(Parsed.value().Number.Value >= 1U);
      RC_ASSERT(Parsed.value().Sha256 == base::sha256Hex(Text));
    }
  }));
  CHECK(rc::check("manifest round trip", [] {
    auto Number = *rc::gen::inRange<uint64_t>(1, 1'000'000'000'000);
    auto Names = *rc::gen::container<std::set<std::string>>(
        rc::gen::nonEmpty(rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("abcz019-_/.")))));
    std::map<std::string, std::string> Documents;
    for (const std::string &Name : Names) {
      Documents[Name] = *anyBytes();
    }
    auto Parsed = config::parseManifest(
        config::formatManifest(base::Revision(Number), Documents));
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(Parsed.value().Number.Value == Number);
    RC_ASSERT(Parsed.value().Documents.size() == Documents.size());
    for (const config::DocumentRef &Ref : Parsed.value().Documents) {
      RC_ASSERT(Ref.Sha256 == base::sha256Hex(Documents.at(Ref.Name)));
    }
  }));
}

// Guards against a caller that crashes the tier, binds a parameter of its
// organisation, or changes the text of its values on the way.
TEST_CASE("callers' bodies are bound or refused", "[fuzz]") {
  auto Configuration = exampleConfiguration();
  const auto &Search =
      *Configuration->Templates.at(base::TemplateId("cart-search"));
  const auto &Own =
      *Configuration->Organisations.at(base::OrganisationId("nube-rosa"));
  CHECK(rc::check("hostile bodies", [&] {
    auto Bound = config::bindParameters(
        Search, Own, *hostile(R"({"colour":"pink","max_km":4.5})"));
    if (Bound.has_error()) {
      RC_ASSERT(!Bound.error().Message.empty());
    } else {
      RC_ASSERT(std::get<std::string>(Bound.value().Values.at("fleet")) ==
                "nube-rosa");
    }
  }));
  CHECK(rc::check("body round trip", [&] {
    auto Colour =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    RC_PRE(Colour.size() <= 32U);
    auto Bound = config::bindParameters(
        Search, Own,
        boost::json::serialize(boost::json::object{{"colour", Colour}}));
    RC_ASSERT(Bound.has_value());
    auto Sent = boost::json::parse(Bound.value().Json).as_object();
    RC_ASSERT(std::string(Sent.at("colour").as_string()) == Colour);
    RC_ASSERT(Sent.at("max_km").as_double() == 5.0);
  }));
}

// Guards against a backend server or platform replica that crashes the tier
// with its replies, and against values that change on the way.
TEST_CASE("replies, reports and lists are read or refused", "[fuzz]") {
  auto Reply = net::decodeReply(ValidReply, "stock");
  REQUIRE(Reply.has_value());
  CHECK(Reply.value().Echo == base::AttemptId{10, 11});
  CHECK(Reply.value().Records == 5U);
  CHECK(std::get<double>(Reply.value().Rows.at(0).Key) == 1.0);
  REQUIRE(Reply.value().Report.has_value());
  CHECK(Reply.value().Report->Leaving);
  CHECK(net::decodeReport(ValidReport).value().Versions.at(0).Holds.at(0) ==
        base::ShardIndex(1));
  CHECK(net::decodeInstances(ValidList).value().Entries.at(0).Server.Leaving);
  CHECK(rc::check("hostile replies", [] {
    auto Decoded = net::decodeReply(*hostile(ValidReply), "stock");
    RC_ASSERT(readOrRefused(Decoded));
    if (Decoded.has_value() && Decoded.value().RetryAfter) {
      RC_ASSERT(*Decoded.value().RetryAfter >= std::chrono::milliseconds(0));
    }
  }));
  CHECK(rc::check("hostile reports", [] {
    auto Decoded = net::decodeReport(*hostile(ValidReport));
    RC_ASSERT(readOrRefused(Decoded));
  }));
  CHECK(rc::check("hostile lists", [] {
    auto Decoded = net::decodeInstances(*hostile(ValidList));
    RC_ASSERT(readOrRefused(Decoded));
  }));
  CHECK(rc::check("attempt ids round-trip", [] {
    base::AttemptId Id{*rc::gen::arbitrary<uint64_t>(),
                       *rc::gen::arbitrary<uint64_t>()};
    auto Decoded = net::decodeReply(
        R"({"status":"ok","attempt":")" + base::toString(Id) + "\"}", "");
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(Decoded.value().Echo == Id);
  }));
}

// Guards against a server that makes the tier wait for a negative time by
// asking for a very long one.
TEST_CASE("a huge retry-after stays positive", "[fuzz]") {
  for (const char *Wait :
       {"9223372036854775808", "18446744073709551615", "9223372036854775807"}) {
    auto Decoded = net::decodeReply(
        std::string(R"({"status":"shed","retry_after_ms":)") + Wait + "}", "");
    REQUIRE(Decoded.has_value());
    REQUIRE(Decoded.value().RetryAfter.has_value());
    CHECK(*Decoded.value().RetryAfter > std::chrono::milliseconds(0));
  }
}

// Guards against request targets that crash the server or lose bytes.
TEST_CASE("request targets are split without loss", "[fuzz]") {
  CHECK(rc::check("percent round trip", [] {
    std::string Text = *anyBytes();
    RC_ASSERT(net::decodePercent(net::encodePercent(Text)) == Text);
  }));
  CHECK(rc::check("hostile targets", [] {
    std::map<std::string, std::string> Query;
    std::string Target = *hostile("/v1/value?key=a%2Fb&after=3&wait_ms=20");
    RC_ASSERT(net::splitTarget(Target, Query).size() <= Target.size());
  }));
  CHECK(rc::check("target round trip", [] {
    std::string Path = *anyBytes();
    auto Given = *rc::gen::container<std::map<std::string, std::string>>(
        rc::gen::nonEmpty(anyBytes()), anyBytes());
    std::string Target = net::encodePercent(Path);
    char Separator = '?';
    for (const auto &[Name, Value] : Given) {
      Target += Separator + net::encodePercent(Name) + "=" +
                net::encodePercent(Value);
      Separator = '&';
    }
    std::map<std::string, std::string> Query;
    RC_ASSERT(net::splitTarget(Target, Query) == Path);
    RC_ASSERT(Query == Given);
  }));
}
