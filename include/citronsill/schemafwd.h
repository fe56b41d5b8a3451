/// Forward declarations of the schema's messages, so that public headers need not include the
/// generated code.
#pragma once

namespace citronsill::schema {

enum Code : int;
enum Policy : int;
enum Urgency : int;
enum RequestState : int;
enum TaskEnd : int;

class Ack;
class Answer;
class Deliver;
class Directory;
class Forward;
class Gossip;
class InstanceRow;
class JournalBatch;
class JournalEntry;
class MemberState;
class PartitionOwner;
class PartitionRow;
class Place;
class PlaceResult;
class Request;
class RequestId;
class Settings;
class TableCommitResult;
class TableRow;
class TableTransaction;
class TaskRef;
class TaskReport;
class TaskQuery;
class TaskQueryResult;
class TaskUpdate;
class WorkClass;
class WorkerControl;
class WorkerInfo;
class WorkerResult;
class WorkerStart;
class WorkerSync;
class WorkerSyncResult;

}  // namespace citronsill::schema
