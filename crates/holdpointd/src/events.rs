//! Numbered log events. docs/EVENTS.md lists them; a test compares that page with this table.

use std::fmt::{self, Write};

use holdpoint_core::text::escape_controls;
use log::Level;

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number; its meaning never changes.
    pub code: u16,
    /// Level.
    pub level: Level,
    /// Short text, printed in each log line.
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
    /// The lifecycle phase of the instance changed.
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
    /// State was copied from a peer.
    ADOPTED = 201 Info "state copied from a peer";
    /// A snapshot does not match its hash or offset.
    BAD_SNAPSHOT = 202 Error "snapshot rejected";
    /// Records expired before they were read, and no snapshot covers them.
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
    /// A change conflicts with an earlier one.
    CONFLICT = 301 Info "change conflicts with an earlier one";
    /// A change has been applied on all instances.
    ACCEPTED = 302 Info "change applied on all instances";
    /// An order was sent to an engine.
    ORDERED = 303 Info "order sent to engine";
    /// A member joined, changed its phase or stopped.
    MEMBER = 400 Info "member changed";
    /// A target is draining.
    TARGET_DRAINING = 401 Info "target is draining";
    /// The instance list cannot be read.
    LIST_SILENT = 402 Warn "instance list cannot be read";
    /// An answer belonged to another attempt and was discarded.
    WRONG_ATTEMPT = 500 Error "answer of another attempt discarded";
    /// A call that may not be repeated has an unknown outcome.
    OUTCOME_UNKNOWN = 501 Error "outcome unknown";
    /// The instance that holds a claim is gone and recorded no outcome.
    CLAIMANT_GONE = 502 Warn "claimant gone without an outcome";
    /// Streams were handed over at the drain limit.
    HANDED_OVER = 503 Info "streams handed over";
    /// A configuration was applied.
    CONFIGURED = 600 Info "configuration applied";
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
    /// The machine was suspended. The monotonic clock and its timers did not count that time.
    SUSPENDED = 616 Warn "machine was suspended";
    /// The store was restored from an older copy; later writes are lost.
    STORE_ROLLED_BACK = 617 Warn "store was restored from an older copy";
    /// A list in the store could not be read to its end. What was read applies; nothing counts as removed.
    LIST_CUT = 618 Warn "list not read to its end";
    /// Items of a list in the store cannot be read.
    ITEMS_UNREADABLE = 619 Warn "items of a list cannot be read";
    /// The settings file was read again.
    RELOADED = 608 Info "settings read again";
    /// This instance began to read the store, or began to follow another instance that reads it.
    READER_ROLE_CHANGED = 609 Info "store reader role changed";
    /// A target's entry expired while the store was unavailable.
    TARGET_LAPSED = 610 Info "target entry expired";
    /// An operator declared or removed a policy or a trial.
    DECLARED = 611 Info "resource declared";
    /// A resource that an operator declared cannot be read.
    BAD_RESOURCE = 612 Error "resource cannot be read";
    /// Many target instances joined, changed or left at once.
    TARGETS_CHANGED = 613 Info "targets changed";
    /// Many peers joined, moved or left at once.
    PEERS_CHANGED = 614 Info "peers changed";
    /// A failure domain was evacuated or restored.
    DOMAIN_CHANGED = 615 Info "failure domain evacuated or restored";
    /// Neither a peer nor the store confirmed that the active configuration is the newest. Requests that it
    /// does not allow are refused rather than denied.
    UNCONFIRMED = 621 Warn "configuration not confirmed";
    /// A list that a peer sent cannot be read.
    BAD_LIST = 620 Error "list from a peer cannot be read";
    /// A request confined to regions was refused, since no target in them can serve it.
    CONFINED = 640 Info "no target in the allowed regions";
    /// A region that a configuration names, or the region of a target's failure domain, is unknown.
    REGION_UNKNOWN = 641 Warn "region not known";
    /// Capacity of a service was lent to another region.
    CAPACITY_LENT = 630 Info "capacity lent";
    /// Capacity of a service was requested from another region.
    CAPACITY_REQUESTED = 631 Info "capacity requested from another region";
    /// A request is sent to another region, since it would be late in its own.
    SPILLED = 632 Info "request sent to another region";
    /// A request that will be late stays in its region.
    NOT_SPILLED = 633 Info "late request stays in its region";
    /// Work items were refused, since every target that serves them is in an evacuated failure domain.
    ITEMS_EVACUATED = 709 Info "work items have no target left";
    /// Work items were refused, since every target that serves them is draining.
    ITEMS_DRAINING = 712 Info "every target of the work items is draining";
    /// Work items were refused, since every target that serves them has asked this instance to back off.
    ITEMS_IN_BACKOFF = 713 Info "every target of the work items is in backoff";
    /// An operator ordered the roll-out of a version, or withdrew the order.
    ROLLOUT_ORDERED = 750 Info "roll-out ordered or withdrawn";
    /// A roll-out began a phase.
    ROLLOUT_PHASE = 751 Info "roll-out phase began";
    /// This instance started or stopped driving a roll-out.
    ROLLOUT_DRIVER = 752 Info "roll-out driver changed";
    /// The status, a claim or a phase record of a roll-out could not be written.
    ROLLOUT_UNWRITTEN = 753 Warn "roll-out not recorded";
    /// The order for a roll-out cannot be read.
    BAD_ROLLOUT = 754 Error "roll-out order cannot be read";
    /// A request was quarantined, since targets crashed while they ran it.
    QUARANTINED = 760 Warn "request quarantined";
    /// A quarantined request is sent to targets again.
    QUARANTINE_ENDED = 761 Info "quarantine ended";
    /// A request was refused, since it is quarantined.
    REFUSED_QUARANTINED = 762 Info "quarantined request refused";
    /// A target was probed, since a connection on which it ran requests broke.
    TARGET_PROBED = 763 Info "target probed";
    /// A target announced, changed or withdrew its limit of requests per second.
    TARGET_LIMIT_CHANGED = 770 Info "target's rate limit changed";
    /// The rate limit that a target announced cannot be read.
    BAD_LIMIT = 771 Warn "target's rate limit cannot be read";
    /// A request was not sent to a target, since the target's rate limit is reached.
    LIMIT_REACHED = 772 Info "target's rate limit reached";
    /// An answer of a target announced that the target is draining.
    DRAIN_NOTICE = 780 Info "target announced that it is draining";
    /// A target rejected a request and asked this instance to back off.
    BACKOFF_REQUESTED = 781 Info "target requests backoff";
    /// The backoff time that a target requested cannot be read.
    BAD_BACKOFF = 782 Warn "target's backoff cannot be read";
    /// A target that too many rejections would crash has rejected a request.
    OVERLOAD_LIMIT = 783 Info "target paused after a rejection";
    /// A request was sent to a target.
    SENT = 700 Info "sent to a target";
    /// An attempt at a target ended without a complete answer.
    SEND_FAILED = 701 Info "send failed";
    /// A send that is past its timeout goes on, since no other target can take the request.
    SEND_KEPT = 716 Info "late send goes on";
    /// The target of a late send has answered.
    SEND_RESUMED = 717 Info "late send answered";
    /// A request was not sent to a target, since a header cannot hold its value.
    INVALID_HEADER = 724 Error "value of a header cannot be sent";
    /// This instance lost the path to a target.
    PATH_LOST = 730 Warn "path to a target lost";
    /// A target answered over a lost path again.
    PATH_REGAINED = 731 Info "path to a target regained";
    /// This instance reaches no target of a service; it owns the service no longer.
    ISOLATED = 732 Warn "isolated from a service";
    /// This instance reaches a service again.
    ISOLATION_ENDED = 733 Info "isolation from a service ended";
    /// A request was sent through a peer.
    RELAYED = 734 Info "sent through a peer";
    /// This instance uses much of its link, or its timers are late.
    OWN_LOAD = 740 Info "load of this instance";
    /// The link or the processor of this instance has become full, or has room again.
    STRAINED = 741 Warn "link or processor full, or free again";
    /// A request was refused, since its connection had waited for too long to be closed unread by a full instance.
    REFUSED_FULL = 742 Info "request refused by a full instance";
    /// A stopping instance listens no longer.
    STOPPED_LISTENING = 743 Info "stopped listening";
    /// A request was refused, since it would usually outlast the planned stop of this instance.
    REFUSED_IN_STOP = 745 Info "request refused late in a stop";
    /// A connection from the queue of a closed listener could not be registered with the event loop.
    CONNECTION_LOST = 744 Warn "accepted connection lost";
    /// A connection to a target could not be made.
    CONNECT_FAILED = 714 Info "no connection to a target";
    /// A batched call for results of a stage ended.
    BATCH = 702 Info "batch ended";
    /// Results of a stage are missing.
    STAGE_FAILED = 703 Info "stage results missing";
    /// A stage was refused, since its results would be late.
    STAGE_REFUSED = 707 Info "stage refused";
    /// Queued work items were handed over to the instance that batches them now.
    ITEMS_HANDED_OVER = 708 Info "work items handed over";
    /// An answer was aborted, since its caller did not read it for too long.
    ANSWER_UNREAD = 711 Warn "caller does not read its answer";
    /// A caller's connection was closed, since it took no bytes for too long.
    CALLER_STALLED = 722 Warn "caller takes no bytes";
    /// The load of a service that an instance reported is implausible. The previous value stays in use.
    REPORTED_LOAD_IGNORED = 720 Warn "reported load ignored";
    /// A request that will be late was admitted; it uses capacity that requests in time leave.
    ADMITTED_LATE = 721 Info "admitted late";
    /// A stream was interrupted at its target.
    STREAM_INTERRUPTED = 704 Info "stream broke off at its target";
    /// A target has sent an event whose id is missing, unreadable or not greater than the one before.
    STREAM_SPOILED = 723 Warn "event of a stream cannot be used";
    /// A caller resumes a stream that an earlier attempt began.
    STREAM_RESUMED = 715 Info "stream resumed by its caller";
    /// A request was denied before it had a route.
    REQUEST_DENIED = 705 Info "request denied";
    /// The handling of a request was dropped without an answer, though its caller had not left.
    REQUEST_DROPPED = 718 Error "request dropped without an answer";
    /// An answer that had begun was ended before it was whole.
    ANSWER_CUT = 719 Info "answer ended before it was whole";
    /// A request ended.
    REQUEST_ENDED = 706 Info "request ended";
}

/// Writes an event to the log. Control characters in its detail are escaped, so that it is a single line.
pub fn emit(event: Event, instance: &str, detail: &str) {
    let detail = escape_controls(detail);
    log::log!(event.level, "E{:03} {instance}: {}: {detail}", event.code, event.text);
}

/// A name in a log line that others have chosen. Characters that would end it there are escaped.
#[derive(Clone, Copy, Debug)]
pub struct LoggedName<'a>(pub &'a str);

impl fmt::Display for LoggedName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_special = |it: char| it.is_whitespace() || it.is_control() || "\"=\\".contains(it);
        if !self.0.contains(is_special) {
            return f.write_str(self.0);
        }
        for it in self.0.chars() {
            match it {
                it if it.is_control() => write!(f, "{}", it.escape_default())?,
                it if is_special(it) => write!(f, "{}", it.escape_unicode())?,
                it => f.write_char(it)?,
            }
        }
        Ok(())
    }
}
