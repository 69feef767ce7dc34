#include "daemon/platform_reader_base.h"

#include "config/document_func.h"
#include "daemon/log_func.h"
#include "net/url_func.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace hickorycrank::daemon {

using base::Clock;
using base::Error;
using base::ErrorKind;

namespace {

constexpr std::chrono::milliseconds WatchTime(20'000);
constexpr std::chrono::milliseconds CallTimeout(3'000);
constexpr std::chrono::milliseconds RetryDelay(500);
/** Polling interval of an instance that receives changes from its peers. */
constexpr std::chrono::milliseconds PollInterval(60'000);
/** Connections per replica: two watches and one for documents. */
constexpr uint32_t ReplicaConnections = 3;
constexpr const char *ManifestKey = "hickorycrank/manifest";
constexpr const char *DocumentPrefix = "hickorycrank/doc/";

/**
 * Builds the request path of a value.
 * @param Key Key of the value.
 * @param After Last known version; the platform waits for a later one.
 * @param Wait How long the platform may delay its response.
 * @return Path with query string.
 */
std::string valuePath(const std::string &Key, uint64_t After,
                      std::chrono::milliseconds Wait) {
  std::ostringstream Path;
  Path << "/v1/value?key=" << net::encodePercent(Key) << "&after=" << After
       << "&wait_ms=" << Wait.count();
  return Path.str();
}

} // namespace

PlatformReader::PlatformReader(boost::asio::io_context &Context,
                               const std::vector<config::Endpoint> &Addresses,
                               uint64_t Seed, PlatformCallbacks Callbacks,
                               DocumentRetries Retries)
    : Context(Context), Callbacks(std::move(Callbacks)), Retries(Retries),
      Generator(Seed) {
  net::PoolLimits Limits;
  Limits.MaxConnections = ReplicaConnections;
  Limits.StallTimeout = CallTimeout;
  for (const config::Endpoint &Address : Addresses) {
    this->Replicas.push_back(
        std::make_shared<net::HttpPool>(Context, Address, Limits));
  }
  this->CurrentReplica = this->Generator.below(this->Replicas.size());
}

void PlatformReader::start() {
  this->pollInstances();
  this->pollManifest();
}

void PlatformReader::stop() {
  this->Stopped = true;
  std::lock_guard Lock(this->Mutex);
  for (const auto &Timer : this->Timers) {
    Timer->cancel();
  }
}

void PlatformReader::release() {
  for (const auto &Replica : this->Replicas) {
    Replica->releaseCallbacks();
  }
}

void PlatformReader::setWatchesConfiguration(bool Watch) {
  if (this->WatchesConfiguration.exchange(Watch) || !Watch) {
    return;
  }
  // A new reader polls at once: the reader that it replaces may have failed.
  bool Cancelled = false;
  {
    std::lock_guard Lock(this->Mutex);
    Cancelled = this->PollTimer && this->PollTimer->cancel() > 0;
    this->PollTimer.reset();
  }
  if (Cancelled) {
    this->pollManifest();
  }
}

void PlatformReader::scheduleNextRead() {
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(this->jitter(PollInterval));
  std::lock_guard Lock(this->Mutex);
  this->Timers.insert(Timer);
  this->PollTimer = Timer;
  Timer->async_wait([Self = this->shared_from_this(),
                     Timer](boost::system::error_code Failure) {
    {
      std::lock_guard Inner(Self->Mutex);
      Self->Timers.erase(Timer);
    }
    if (!Failure && !Self->Stopped) {
      Self->pollManifest();
    }
  });
}

std::chrono::milliseconds
PlatformReader::jitter(std::chrono::milliseconds MeanDelay) {
  std::lock_guard Lock(this->Mutex);
  auto Count = static_cast<uint64_t>(MeanDelay.count());
  return std::chrono::milliseconds(Count / 2 + this->Generator.below(Count));
}

void PlatformReader::scheduleAfter(std::chrono::milliseconds Delay,
                                   std::function<void()> Callback) {
  if (this->Stopped) {
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(Delay);
  {
    std::lock_guard Lock(this->Mutex);
    this->Timers.insert(Timer);
  }
  Timer->async_wait(
      [Self = this->shared_from_this(), Timer,
       Callback = std::move(Callback)](boost::system::error_code Failure) {
        {
          std::lock_guard Lock(Self->Mutex);
          Self->Timers.erase(Timer);
        }
        if (!Failure && !Self->Stopped) {
          Callback();
        }
      });
}

void PlatformReader::get(const std::string &Path,
                         std::chrono::milliseconds Timeout,
                         std::function<void(base::Result<std::string>)> Done) {
  if (this->Stopped) {
    return;
  }
  ++this->Calls;
  net::HttpRequest Request;
  Request.Path = Path;
  size_t Replica = this->CurrentReplica;
  this->Replicas[Replica]->send(
      std::move(Request), Clock::now() + Timeout, /*Fresh=*/false,
      [Self = this->shared_from_this(), Replica,
       Done = std::move(Done)](net::ExchangeResult Result) {
        if (Self->Stopped) {
          return;
        }
        auto *Response = std::get_if<net::HttpResponse>(&Result);
        if (Response != nullptr && Response->Status == 200) {
          Done(std::move(Response->Body));
          return;
        }
        Self->CurrentReplica = (Replica + 1) % Self->Replicas.size();
        Done(Error{ErrorKind::Unreachable,
                   "no valid response from the platform"});
      });
}

void PlatformReader::pollInstances() {
  uint64_t After = 0;
  {
    std::lock_guard Lock(this->Mutex);
    After = this->ListVersion;
  }
  std::ostringstream Path;
  Path << "/v1/instances?after=" << After << "&wait_ms=" << WatchTime.count();
  this->get(Path.str(), WatchTime + CallTimeout,
            [Self = this->shared_from_this()](base::Result<std::string> Body) {
              if (Body.has_error()) {
                Self->scheduleAfter(Self->jitter(RetryDelay),
                                    [Self] { Self->pollInstances(); });
                return;
              }
              auto List = net::decodeInstances(Body.value());
              if (List.has_error()) {
                logEvent(LogLevel::Warning, "platform.bad_list",
                         {{"error", List.error().Message}});
                Self->scheduleAfter(Self->jitter(RetryDelay),
                                    [Self] { Self->pollInstances(); });
                return;
              }
              {
                std::lock_guard Lock(Self->Mutex);
                Self->ListVersion =
                    std::max(Self->ListVersion, List.value().Version);
              }
              Self->Callbacks.OnInstances(std::move(List.value()));
              Self->scheduleAfter(std::chrono::milliseconds(1),
                                  [Self] { Self->pollInstances(); });
            });
}

void PlatformReader::pollManifest() {
  uint64_t After = 0;
  {
    std::lock_guard Lock(this->Mutex);
    After = this->ManifestVersion;
  }
  bool Watch = this->WatchesConfiguration;
  std::chrono::milliseconds Wait =
      Watch ? WatchTime : std::chrono::milliseconds(0);
  this->get(
      valuePath(ManifestKey, After, Wait), Wait + CallTimeout,
      [Self = this->shared_from_this(), Watch](base::Result<std::string> Body) {
        if (Body.has_error()) {
          Self->scheduleAfter(Self->jitter(RetryDelay),
                              [Self] { Self->pollManifest(); });
          return;
        }
        auto Value = net::decodeValue(Body.value());
        if (Value.has_value() && !Value.value().Text.empty()) {
          Self->onManifest(Value.value());
        }
        if (Watch) {
          Self->scheduleAfter(std::chrono::milliseconds(1),
                              [Self] { Self->pollManifest(); });
        } else if (!Self->Stopped) {
          Self->scheduleNextRead();
        }
      });
}

void PlatformReader::onManifest(const net::PlatformValue &Value) {
  {
    std::lock_guard Lock(this->Mutex);
    if (Value.Version <= this->ManifestVersion) {
      this->HasRead = true;
      return;
    }
    this->ManifestVersion = Value.Version;
  }
  auto ParsedManifest = config::parseManifest(Value.Text);
  if (ParsedManifest.has_error()) {
    logEvent(LogLevel::Error, "configuration.refused",
             {{"error", ParsedManifest.error().Message}});
    return;
  }
  auto Pending = std::make_shared<Fetch>();
  Pending->Version = Value.Version;
  Pending->Texts.Manifest = Value.Text;
  for (const config::DocumentRef &Ref : ParsedManifest.value().Documents) {
    std::string Known = this->Callbacks.FindDocument(Ref.Sha256);
    if (!Known.empty()) {
      Pending->Texts.Documents[Ref.Sha256] = std::move(Known);
    } else {
      Pending->Missing.push_back(Ref.Sha256);
    }
  }
  Pending->ParsedManifest = std::move(ParsedManifest.value());
  this->fetchNext(Pending);
}

void PlatformReader::fetchNext(const std::shared_ptr<Fetch> &Pending) {
  if (Pending->Missing.empty()) {
    this->HasRead = true;
    this->Callbacks.OnConfiguration(std::move(Pending->Texts));
    return;
  }
  std::string Digest = Pending->Missing.back();
  this->get(valuePath(DocumentPrefix + Digest, 0, std::chrono::milliseconds(0)),
            CallTimeout,
            [Self = this->shared_from_this(), Pending,
             Digest](base::Result<std::string> Body) {
              auto Value = Body.has_value()
                               ? net::decodeValue(Body.value())
                               : base::Result<net::PlatformValue>(Body.error());
              if (Value.has_error()) {
                // The platform is unreachable; the document may still exist.
                Self->fetchLater(Pending, RetryDelay);
                return;
              }
              if (Value.value().Text.empty()) {
                Self->onMissing(Pending);
                return;
              }
              Pending->Texts.Documents[Digest] = std::move(Value.value().Text);
              Pending->Missing.pop_back();
              Self->fetchNext(Pending);
            });
}

void PlatformReader::onMissing(const std::shared_ptr<Fetch> &Pending) {
  ++Pending->Failures;
  std::chrono::milliseconds Delay = this->Retries.RecheckInterval;
  if (Pending->Failures < MaxDocumentFailures) {
    Delay = this->Retries.FirstDelay * (1U << (Pending->Failures - 1));
  } else {
    base::Revision Number = Pending->ParsedManifest.Number;
    logEvent(LogLevel::Error, "configuration.abandoned",
             {{"revision", std::to_string(Number.Value)},
              {"missing_sha256", Pending->Missing.back()},
              {"remedy", "publish the missing document, or a manifest with a "
                         "higher revision"}});
    this->Callbacks.OnDocumentsMissing(Number);
  }
  this->fetchLater(Pending, Delay);
}

void PlatformReader::fetchLater(const std::shared_ptr<Fetch> &Pending,
                                std::chrono::milliseconds Delay) {
  {
    std::lock_guard Lock(this->Mutex);
    if (this->ManifestVersion > Pending->Version) {
      return; // Superseded by a newer manifest.
    }
  }
  this->scheduleAfter(
      this->jitter(Delay),
      [Self = this->shared_from_this(), Pending] { Self->fetchNext(Pending); });
}

} // namespace hickorycrank::daemon
