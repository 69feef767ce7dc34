// Tests of the position of a reader of the platform's store.
#include "discovery/read_cursor_base.h"

#include <catch2/catch.hpp>

using namespace hickorycrank;
using discovery::EpochCheck;
using discovery::ItemKind;
using discovery::Page;
using discovery::ReadCursor;
using discovery::StorePosition;
using discovery::Update;

namespace {

/** @return A page with one server; a page with a last key is not the last. */
Page page(uint64_t Revision, const std::string &Name,
          const std::string &LastKey = "") {
  Page Result;
  Result.Revision = Revision;
  Result.Items = {{ItemKind::Server, Name, "v", {0, Revision}}};
  Result.LastKey = LastKey;
  Result.HasMore = !LastKey.empty();
  return Result;
}

Update changes(uint64_t Revision) {
  Update Result;
  Result.Position = {0, Revision};
  Result.Changes = {{{ItemKind::Server, "x", "v", {0, Revision}}, false}};
  return Result;
}

} // namespace

// Guards against a listing whose later pages move the start of the watch, so
// that changes of its first pages are missed.
TEST_CASE("a listing ends at the revision of its first page", "[view]") {
  ReadCursor Cursor;
  REQUIRE(Cursor.isListing());
  CHECK(Cursor.checkEpoch(4) == EpochCheck::Same);
  CHECK_FALSE(Cursor.addPage(page(10, "a", "servers/a")));
  CHECK(Cursor.pageCursor() == "servers/a");
  CHECK(Cursor.checkEpoch(4) == EpochCheck::Same);
  auto Listed = Cursor.addPage(page(12, "b"));
  REQUIRE(Listed);
  CHECK(Listed->Complete);
  CHECK(Listed->Position == StorePosition{4, 10});
  CHECK(Listed->LastChange == StorePosition{4, 12});
  REQUIRE(Listed->Changes.size() == 2);
  CHECK(Listed->Changes[1].ChangedItem.Position == StorePosition{4, 12});
  CHECK_FALSE(Cursor.isListing());
  Update Newer = Cursor.addChanges(changes(15));
  CHECK(Newer.Since == StorePosition{4, 10});
  CHECK(Newer.Changes[0].ChangedItem.Position == StorePosition{4, 15});
  CHECK(Cursor.position() == StorePosition{4, 15});
}

// Guards against a watch that goes on, and a listing that mixes pages, after
// the store was restored.
TEST_CASE("a reader lists a restored store from its first page", "[view]") {
  ReadCursor Cursor;
  Cursor.advanceTo({1, 63});
  CHECK_FALSE(Cursor.isListing());
  CHECK(Cursor.checkEpoch(2) == EpochCheck::Restored);
  REQUIRE(Cursor.isListing());
  CHECK(Cursor.checkEpoch(2) == EpochCheck::Same);
  CHECK_FALSE(Cursor.addPage(page(61, "a", "servers/a")));
  CHECK(Cursor.checkEpoch(3) == EpochCheck::Restored);
  CHECK(Cursor.pageCursor().empty());
  auto Listed = Cursor.addPage(page(60, "b"));
  REQUIRE(Listed);
  CHECK(Listed->Position == StorePosition{3, 60});
  CHECK(Listed->Changes.size() == 1);
}

// Guards against taking an answer of the store that was on its way while the
// store was restored.
TEST_CASE("an answer of an earlier epoch is outdated", "[view]") {
  ReadCursor Cursor;
  Cursor.advanceTo({3, 10});
  Cursor.advanceTo({2, 99});
  CHECK(Cursor.position() == StorePosition{3, 10});
  CHECK(Cursor.checkEpoch(2) == EpochCheck::Outdated);
  CHECK(Cursor.checkEpoch(0) == EpochCheck::Outdated);
  CHECK(Cursor.position() == StorePosition{3, 10});
  Cursor.restart();
  CHECK(Cursor.isListing());
  CHECK(Cursor.checkEpoch(2) == EpochCheck::Outdated);
}
