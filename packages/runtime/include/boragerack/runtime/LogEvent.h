#pragma once

namespace boragerack::runtime {

/// Numbered log events; docs/events.md explains each. Numbers are never reused.
enum class LogEvent {
    NodeReady = 1001,
    NodeDraining = 1002,
    NodeStopped = 1003,
    SettingsInvalid = 1004,
    StartFailed = 1005,
    NodeIsolated = 1006,
    NodeServing = 1007,
    ConfigurationAccepted = 1101,
    ConfigurationInEffect = 1102,
    ConfigurationRejected = 1103,
    PlatformUnavailable = 1201,
    PlatformAvailable = 1202,
    PlatformHistoryLost = 1203,
    LoadOrdered = 1301,
    LoadFinished = 1302,
    LoadRefused = 1303,
    UnloadOrdered = 1304,
    TargetLost = 1305,
    TargetLeaving = 1306,
    RequestFailed = 1401,
    RequestQuarantined = 1402,
    ConnectionSilent = 1403,
    RequestServed = 1404,
    RequestRefused = 1405,
    PeerConnected = 1501,
    PeerLost = 1502,
    PeerRejected = 1503,
    ShareAcquired = 1601,
    ShareReleased = 1602,
    CoordinatorStarted = 1701,
    CoordinatorEnded = 1702,
    CoordinatorFollowed = 1703,
    CoordinatorLost = 1704,
    CoordinatorUnknown = 1705,
    MemberLost = 1706,
    RelayAssigned = 1707,
    RelayLost = 1708,
    MessageDropped = 1801,
    SettingsChanged = 1802,
    LinesDropped = 1803,
};

} // namespace boragerack::runtime
