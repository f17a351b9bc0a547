//! Numbered log events. docs/EVENTS.md is their catalogue; a test holds it against this table.

use log::Level;

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, which never changes its meaning.
    pub code: u16,
    /// Level.
    pub level: Level,
    /// Short text.
    pub text: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal $level:ident $text:literal;)*) => {
        $($(#[$doc])* pub const $name: Event =
            Event { code: $code, level: Level::$level, text: $text };)*

        /// All events.
        pub const ALL: &[Event] = &[$($name),*];
    };
}

events! {
    /// The process has started.
    STARTED = 100 Info "started";
    /// The phase of the instance's life changed.
    PHASE = 101 Info "phase changed";
    /// A planned stop began.
    STOPPING = 102 Info "planned stop began";
    /// A planned stop ended.
    STOPPED = 103 Info "planned stop ended";
    /// The settings cannot be used.
    BAD_SETTINGS = 104 Error "settings cannot be used";
    /// A listening address cannot be bound.
    BAD_ADDRESS = 105 Error "address cannot be bound";
    /// State was restored from a snapshot in the log.
    RESTORED = 200 Info "state restored from a snapshot";
    /// State was taken over from a peer.
    ADOPTED = 201 Info "state taken over from a peer";
    /// A snapshot was found not to match its hash or offset.
    BAD_SNAPSHOT = 202 Error "snapshot rejected";
    /// Records expired before they were read and no snapshot covers them.
    GAP = 203 Error "records expired unread and no snapshot covers them";
    /// A record cannot be read by this version.
    BAD_RECORD = 204 Warn "record cannot be read";
    /// The log does not answer.
    LOG_SILENT = 205 Warn "log does not answer";
    /// The log answers again.
    LOG_BACK = 206 Info "log answers again";
    /// A snapshot was appended.
    SNAPSHOT = 207 Info "snapshot appended";
    /// A resource changed.
    CHANGED = 300 Info "resource changed";
    /// A change lost to another.
    CONFLICT = 301 Info "change lost to another";
    /// A change is in force everywhere.
    ACCEPTED = 302 Info "change in force everywhere";
    /// An engine was given an order.
    ORDERED = 303 Info "engine ordered";
    /// A member joined, changed its phase or stopped.
    MEMBER = 400 Info "member changed";
    /// A target is leaving.
    TARGET_LEAVING = 401 Info "target is leaving";
    /// The instance list cannot be read.
    LIST_SILENT = 402 Warn "instance list cannot be read";
    /// An answer belonged to another attempt and was dropped.
    CROSSED = 500 Error "answer of another attempt dropped";
    /// A call that may not be repeated has an unknown outcome.
    OUTCOME_UNKNOWN = 501 Error "outcome unknown";
    /// A claimant is gone without an outcome.
    CLAIMANT_GONE = 502 Warn "claimant gone without an outcome";
    /// Streams were handed over at the drain limit.
    HANDED_OVER = 503 Info "streams handed over";
    /// A configuration is in force.
    CONFIGURED = 600 Info "configuration in force";
    /// A configuration in the store cannot be read.
    BAD_CONFIGURATION = 601 Error "configuration cannot be read";
    /// An entry of a target instance cannot be read.
    BAD_ENTRY = 602 Warn "target entry cannot be read";
    /// A target instance joined or changed.
    TARGET_CHANGED = 603 Info "target changed";
    /// The store does not answer.
    STORE_SILENT = 604 Warn "store does not answer";
    /// The store answers again.
    STORE_BACK = 605 Info "store answers again";
    /// A peer joined, moved or left.
    PEER_CHANGED = 606 Info "peer changed";
    /// A peer does not answer.
    PEER_SILENT = 607 Warn "peer does not answer";
    /// The machine was suspended; the steady clock and its timers left that time out.
    WOKEN = 616 Warn "machine was suspended";
    /// The store came back from an older copy: what was written since is gone.
    STORE_RETURNED = 617 Warn "store came back from an older copy";
    /// The settings file was read again.
    RELOADED = 608 Info "settings read again";
    /// Whether this instance reads the store or follows another that does has changed.
    READING = 609 Info "store reading changed";
    /// A target's entry lapsed while the store was away.
    TARGET_LAPSED = 610 Info "target entry lapsed";
    /// An operator declared a policy or a trial, or dropped it.
    DECLARED = 611 Info "resource declared";
    /// A resource that an operator declared cannot be read.
    BAD_RESOURCE = 612 Error "resource cannot be read";
    /// Many target instances joined, changed or left at once.
    TARGETS_CHANGED = 613 Info "targets changed";
    /// Many peers joined, moved or left at once.
    PEERS_CHANGED = 614 Info "peers changed";
    /// A failure domain was evacuated or restored.
    DOMAIN_CHANGED = 615 Info "failure domain evacuated or restored";
    /// Nobody could be asked whether the configuration in force is the newest, so requests that it does
    /// not allow are refused rather than denied.
    UNCONFIRMED = 621 Warn "configuration not confirmed";
    /// A list that a peer sent cannot be read.
    BAD_LIST = 620 Error "list of a peer cannot be read";
    /// A confined request was refused, since its regions have no target for it.
    CONFINED = 640 Info "no target in the allowed regions";
    /// A region that a configuration names, or a target's failure domain, is in no known region.
    REGION_UNKNOWN = 641 Warn "region not known";
    /// Places of a service were lent to another region.
    PLACES_LENT = 630 Info "places lent";
    /// Places of a service in another region were asked for.
    PLACES_BORROWED = 631 Info "places borrowed";
    /// A request goes to another region, since it would be late in its own one.
    SPILLED = 632 Info "request sent to another region";
    /// A request that will be late in its region stays there.
    NOT_SPILLED = 633 Info "late request stays in its region";
    /// Pieces were refused, since every target that makes them stands in an evacuated failure domain.
    PIECES_EVACUATED = 709 Info "pieces have no target left";
    /// Pieces were refused, since every target that makes them leaves.
    PIECES_LEFT = 712 Info "every target of the pieces leaves";
    /// Pieces were refused, since every target that makes them has asked this instance to back off.
    PIECES_BACK_OFF = 713 Info "every target of the pieces wants a back-off";
    /// An operator ordered a version to be rolled out, or withdrew the order.
    ROLLOUT_ORDERED = 750 Info "roll-out ordered or withdrawn";
    /// A roll-out began a phase.
    ROLLOUT_PHASE = 751 Info "roll-out phase began";
    /// This instance drives a roll-out, or does not any more.
    ROLLOUT_DRIVER = 752 Info "roll-out driver changed";
    /// The status of a roll-out was not written.
    ROLLOUT_UNWRITTEN = 753 Warn "roll-out not recorded";
    /// An order to roll out a version cannot be read.
    BAD_ROLLOUT = 754 Error "roll-out order cannot be read";
    /// A request goes to no target any more, since targets have ended under it.
    QUARANTINED = 760 Warn "request quarantined";
    /// A quarantined request goes to targets again.
    QUARANTINE_ENDED = 761 Info "quarantine ended";
    /// A request was refused, since it is quarantined.
    REFUSED_HELD = 762 Info "quarantined request refused";
    /// A connection broke off on which a target ran requests, and the target was looked for.
    TARGET_LOOKED_FOR = 763 Info "target looked for";
    /// A target named a limit of requests a second, named another one, or none any more.
    LIMIT_NAMED = 770 Info "target's limit changed";
    /// What a target says of its limit cannot be read.
    BAD_LIMIT = 771 Warn "target's limit cannot be read";
    /// A request was not let through to a target, which has got what its limit allows.
    LIMIT_REACHED = 772 Info "target has got what it takes";
    /// An answer of a target said that the target leaves.
    LEAVING_NOTICE = 780 Info "target says that it leaves";
    /// A target turned a request away and asked this instance to back off.
    BACKOFF_REQUESTED = 781 Info "target asks to back off";
    /// For how long a target asks this instance to back off cannot be read.
    BAD_BACKOFF = 782 Warn "target's back-off cannot be read";
    /// A request was sent to a target.
    SENT = 700 Info "sent to a target";
    /// A send ended without a whole answer.
    SEND_FAILED = 701 Info "send failed";
    /// A call that made results of a stage ended.
    BATCH = 702 Info "batch ended";
    /// Results of a stage are missing.
    STAGE_FAILED = 703 Info "stage results missing";
    /// Results of a stage would come too late.
    STAGE_REFUSED = 707 Info "stage refused";
    /// Pieces that waited were handed over to the instance that batches them now.
    HANDED_PIECES_OVER = 708 Info "pieces handed over";
    /// An answer was broken off, since its caller read nothing of it for too long.
    UNREAD = 711 Warn "caller does not read";
    /// What an instance tells of the load of a service makes no sense, and the one before counts.
    LOAD_NOT_USED = 720 Warn "told load not used";
    /// A request was admitted that will be late; it is made in the time that others leave.
    ADMITTED_LATE = 721 Info "admitted late";
    /// A stream broke off at its target.
    STREAM_MOVED = 704 Info "stream broke off at its target";
    /// A request was denied before it had a route.
    REQUEST_DENIED = 705 Info "request denied";
    /// A request ended.
    REQUEST_ENDED = 706 Info "request ended";
}

/// Writes an event to the log.
pub fn emit(event: Event, instance: &str, detail: &str) {
    log::log!(event.level, "E{:03} {instance}: {}: {detail}", event.code, event.text);
}
