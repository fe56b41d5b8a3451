/// Forward declarations of the schema's messages, so that public headers need not include the
/// generated code.
#pragma once

namespace citronsill::schema {

enum Code : int;
enum Policy : int;
enum Urgency : int;
enum RequestState : int;
enum Role : int;
enum TaskEnd : int;

class AccessKey;
class AccessKeys;
class Ack;
class Alert;
class Answer;
class ApplyRequest;
class ApplyResult;
class ClassCounts;
class Deliver;
class Directory;
class Forward;
class Gossip;
class InstanceRevision;
class InstanceRow;
class JournalBatch;
class JournalEntry;
class LogLevel;
class MemberState;
class PartitionOwner;
class PartitionRow;
class Place;
class PlaceResult;
class Record;
class RecordHead;
class RecordSet;
class RecordsQuery;
class RecordsView;
class Report;
class ReportPart;
class Request;
class RequestId;
class Settings;
class StoredRecord;
class TableCommitResult;
class TableRow;
class TableTransaction;
class Target;
class TaskRef;
class TaskReport;
class TaskQuery;
class TaskQueryResult;
class TaskUpdate;
class TeamLimit;
class WorkClass;
class WorkerControl;
class WorkerInfo;
class WorkerResult;
class WorkerStart;
class WorkerSync;
class WorkerSyncResult;

}  // namespace citronsill::schema
