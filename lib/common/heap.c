#include "common/heap.h"

#include <assert.h>
#include <glib.h>

static void
set_slot(GwHeap *heap, uint32_t i, GwHeapSlot slot)
{
    heap->slots[i] = slot;
    *slot.position = i;
}

static void
sift_up(GwHeap *heap, uint32_t i)
{
    GwHeapSlot slot = heap->slots[i];

    while (i > 0) {
        uint32_t parent = (i - 1) / 2;
        if (heap->slots[parent].key <= slot.key) {
            break;
        }
        set_slot(heap, i, heap->slots[parent]);
        i = parent;
    }
    set_slot(heap, i, slot);
}

static void
sift_down(GwHeap *heap, uint32_t i)
{
    GwHeapSlot slot = heap->slots[i];

    for (;;) {
        uint32_t child = 2 * i + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count &&
            heap->slots[child + 1].key < heap->slots[child].key) {
            child++;
        }
        if (slot.key <= heap->slots[child].key) {
            break;
        }
        set_slot(heap, i, heap->slots[child]);
        i = child;
    }
    set_slot(heap, i, slot);
}

/* Adds an item. *position must stay valid until the item is removed. */
void
GwHeap_Push(GwHeap *heap, int64_t key, void *item, uint32_t *position)
{
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity == 0 ? 64 : heap->capacity * 2;
        heap->slots = g_renew(GwHeapSlot, heap->slots, heap->capacity);
    }
    uint32_t i = heap->count++;
    set_slot(heap, i,
             (GwHeapSlot){.key = key, .item = item, .position = position});
    sift_up(heap, i);
}

/* Removes the item at *position and sets *position to GW_HEAP_ABSENT. Does
 * nothing for an item that is in no heap. */
void
GwHeap_Remove(GwHeap *heap, uint32_t *position)
{
    if (*position == GW_HEAP_ABSENT) {
        return;
    }
    uint32_t i = *position;
    assert(i < heap->count && heap->slots[i].position == position);
    heap->count--;
    if (i != heap->count) {
        set_slot(heap, i, heap->slots[heap->count]);
        sift_up(heap, i);
        sift_down(heap, i);
    }
    *position = GW_HEAP_ABSENT;
}

/* Changes the key of the item at *position. */
void
GwHeap_SetKey(GwHeap *heap, uint32_t *position, int64_t key)
{
    assert(*position < heap->count);
    heap->slots[*position].key = key;
    sift_up(heap, *position);
    sift_down(heap, *position);
}

void *
GwHeap_Top(const GwHeap *heap)
{
    return heap->count == 0 ? NULL : heap->slots[0].item;
}

/* The smallest key, INT64_MAX when the heap is empty. */
int64_t
GwHeap_TopKey(const GwHeap *heap)
{
    return heap->count == 0 ? INT64_MAX : heap->slots[0].key;
}

/* Frees the heap but not its items. */
void
GwHeap_Free(GwHeap *heap)
{
    g_free(heap->slots);
    *heap = (GwHeap){0};
}
