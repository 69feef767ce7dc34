#include "discovery/read_cursor_base.h"

#include <algorithm>
#include <utility>

namespace hickorycrank::discovery {

void ReadCursor::advanceTo(const StorePosition &Known) {
  if (Known > this->Position) {
    this->abortListing();
    this->Position = Known;
  }
}

EpochCheck ReadCursor::checkEpoch(uint64_t Epoch) {
  if (Epoch == this->Position.Epoch) {
    return EpochCheck::Same;
  }
  if (Epoch < this->Position.Epoch) {
    return EpochCheck::Outdated;
  }
  bool First = this->Position == StorePosition() && this->PageCursor.empty();
  this->abortListing();
  this->Position = {Epoch, 0};
  return First ? EpochCheck::Same : EpochCheck::Restored;
}

void ReadCursor::restart() {
  this->abortListing();
  this->Position.Revision = 0;
}

void ReadCursor::abortListing() {
  this->PartialListing = {};
  this->PageCursor.clear();
}

std::optional<Update> ReadCursor::addPage(Page &&Received) {
  // Pages are not a snapshot. The watch starts from the first page's revision
  // and so repeats all later changes.
  if (this->PageCursor.empty()) {
    this->PartialListing = {};
    this->PartialListing.Position = {this->Position.Epoch, Received.Revision};
    this->PartialListing.LastChange = {this->Position.Epoch, 0};
  }
  for (Item &Entry : Received.Items) {
    Entry.Position.Epoch = this->Position.Epoch;
    this->PartialListing.LastChange =
        std::max(this->PartialListing.LastChange, Entry.Position);
    this->PartialListing.Changes.push_back({std::move(Entry), false});
  }
  if (Received.HasMore && !Received.LastKey.empty()) {
    this->PageCursor = std::move(Received.LastKey);
    return std::nullopt;
  }
  this->Position = this->PartialListing.Position;
  this->PartialListing.Complete = true;
  this->PageCursor.clear();
  return std::exchange(this->PartialListing, {});
}

Update ReadCursor::addChanges(Update &&Received) {
  Received.Since = this->Position;
  Received.Position.Epoch = this->Position.Epoch;
  for (Change &Entry : Received.Changes) {
    Entry.ChangedItem.Position.Epoch = this->Position.Epoch;
  }
  this->Position = std::max(this->Position, Received.Position);
  return std::move(Received);
}

} // namespace hickorycrank::discovery
