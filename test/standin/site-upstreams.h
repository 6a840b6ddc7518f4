#ifndef MARIGOLDPITCH_TEST_STANDIN_SITE_UPSTREAMS_H
#define MARIGOLDPITCH_TEST_STANDIN_SITE_UPSTREAMS_H

#include "marigoldpitch/state/names.h"
#include "marigoldpitch/transport/line-link.h"
#include "marigoldpitch/transport/tcp-listener.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Three upstreams of one service, in one process, that speak in lines. */
namespace marigoldpitch::standin {

/** The places in the group, counted from the one that leads. */
enum class Place
{
  Primary,
  FirstReplica,
  SecondReplica,
};

constexpr NameTable<Place, 3> kPlaceNames{ {
  { Place::Primary, "primary" },
  { Place::FirstReplica, "first-replica" },
  { Place::SecondReplica, "second-replica" },
} };

struct Upstream
{
  std::string id;
  Endpoint endpoint;   // where it listens
  Endpoint advertised; // where it says that it does
  bool isPrimary = false;
  uint64_t term = 1;
  uint64_t held = 0;
  bool isAlive = true;
  bool isLeaving = false;
  bool isDeaf = false;      // receives nothing
  bool isForgotten = false; // by the registry, while it serves
  std::vector<std::pair<std::string, std::string>> log; // received
  size_t shown = 0;                                     // of it, by reads
};

class Upstreams : public LineLinkListener
{
public:
  explicit Upstreams(Loop& aLoop);

  Result<void> Listen(size_t aUpstream,
                      const Endpoint& aEndpoint,
                      const Endpoint& aAdvertised);
  std::array<Upstream, 3>& All() { return this->upstreams; }

  /** The living primary of the newest term. */
  Upstream* Leader();

  /** Who is there now; nobody without a leader. */
  std::optional<size_t> IndexAt(Place aPlace);

  /** False when the upstream does not run. */
  bool Promote(const std::string& aId);
  void Kill(size_t aUpstream);

  /** It comes back with its log, as a replica if another leads now. */
  void Revive(size_t aUpstream);
  void SetDeaf(size_t aUpstream, bool aIsDeaf);
  void SetLag(Duration aLag) { this->lag = aLag; }
  void SetWork(Duration aWork) { this->work = aWork; }

  /** Each so many answers are lost after the statement ran; 0: none. */
  void LoseEach(uint64_t aCount) { this->losesEach = aCount; }
  uint64_t Strange() const { return this->strange; }

  void OnLinkUp(LineLink&) override {}
  void OnLine(LineLink& aLink, std::string_view aLine) override;
  void OnLinkDown(LineLink& aLink, const Error& aReason) override;

private:
  struct Port : public AcceptHandler
  {
    Upstreams* all = nullptr;
    size_t upstream = 0;
    std::unique_ptr<TcpListener> listener;
    void OnAccept(h2o_socket_t* aSocket) override;
  };

  struct Session
  {
    size_t upstream = 0;
    std::shared_ptr<LineLink> link;
    bool hasStarted = false;
    char state = 'I';
    std::map<std::string, std::string> prepared; // `READ` or `WRITE`
    std::string who; // the session value of that name, shown in signatures
    std::vector<std::pair<std::string, std::string>> written;
  };

  void Run(uint64_t aSession, const std::string& aLine);
  std::string Answer(Session& aSession, const std::vector<std::string>& aWords);
  std::string Read(Session& aSession, const std::string& aItem);
  std::string Keep(Session& aSession,
                   std::vector<std::pair<std::string, std::string>> aEntries);
  std::string Report(Upstream& aUpstream);
  void Follow(Upstream& aReplica);
  void Receive(Upstream& aReplica,
               const std::vector<std::pair<std::string, std::string>>& aLog);
  static std::string Signed(const Session& aSession, const char* aKind);

  Loop& loop;
  std::array<Upstream, 3> upstreams;
  std::array<Port, 3> ports;
  std::map<uint64_t, Session> sessions;
  uint64_t lastSession = 0;
  Duration lag = Millis(0);  // until a replica shows what it received
  Duration work = Millis(0); // of each statement
  uint64_t losesEach = 0;
  uint64_t answers = 0;
  uint64_t strange = 0; // lines that no proxy may send
};

} // namespace marigoldpitch::standin

#endif
