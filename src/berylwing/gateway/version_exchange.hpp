#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/host_roster.hpp"
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Questions between hosts about the only version that can have begun the open streams of a service.
 *
 * A host that has just started, or was out of touch, has not seen which versions left before. Hosts that have watched
 * the service meanwhile know, also where the object in the store is older than what they know, or is missing.
 */
class VersionExchange {
    using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

    /** Call of ask() that waits for answers. */
    struct Question : boost::intrusive::list_base_hook<AutoUnlink> {
        Question(Clock& clock, std::uint32_t askedService)
            : service { askedService }
            , answered { clock }
        {
        }

        void add(const HostEntry& sender, const wire::VersionAnswer& answer);
        [[nodiscard]] bool isOpen() const noexcept
        {
            return this->version != kSeveralVersions && !this->unanswered.empty();
        }

        std::uint32_t service;
        Event answered;
        std::vector<HostEntry> unanswered;
        std::optional<std::uint32_t> version;
    };

    using Questions = boost::intrusive::list<Question, boost::intrusive::constant_time_size<false>>;

    /** Returns the hosts to ask; in a large fleet some of each failure domain. */
    [[nodiscard]] std::vector<HostEntry> chooseHosts() const;
    void answer(const HostEntry& sender, const wire::FleetMessage& message) const;

public:
    /** @brief Answer of a host if streams of several versions can be open. */
    static constexpr std::uint32_t kSeveralVersions = 0;

    /** @brief Sends a message to another host; best effort. */
    using Sender = std::function<void(const HostEntry&, const wire::FleetMessage&)>;

    /** @brief Returns what this host knows of a service: the hash of its only version, kSeveralVersions, or nothing. */
    using Knowledge = std::function<std::optional<std::uint32_t>(std::uint32_t service)>;

    /**
     * @brief Creates an exchange without questions.
     * @param hostClock Clock of the host.
     * @param hostRoster Hosts of the fleet.
     * @param sender Sends a message to another host.
     * @param ownKnowledge Returns what this host tells others.
     */
    VersionExchange(Clock& hostClock, const HostRoster& hostRoster, Sender sender, Knowledge ownKnowledge);

    /** @brief Returns the hash by which messages name a service. @param service Service. @return Hash. */
    [[nodiscard]] static std::uint32_t hashService(std::string_view service);

    /**
     * @brief Asks other hosts which version is the only one whose streams can be open.
     * @param service Service.
     * @return Hash of the version; kSeveralVersions if a host knows of several or they contradict each other, nothing
     * if no host that answers in time knows.
     */
    [[nodiscard]] Task<std::optional<std::uint32_t>> ask(std::string service);

    /** @brief Handles the questions and answers of another host. @param sender Host. @param message Message. */
    void receive(const HostEntry& sender, const wire::FleetMessage& message);

private:
    Clock& clock;
    const HostRoster& roster;
    Sender send;
    Knowledge knowledge;
    Questions questions;
};

} // namespace berylwing
